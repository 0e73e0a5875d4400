// ESLint rule that forbids direct and indirect import cycles within a package. Type imports count as well, since modules
// that depend on each other's types cannot be understood separately. Cycles between packages need no check: the
// TypeScript project references would fail to build.
import { existsSync, readFileSync } from "node:fs";
import { dirname, join } from "node:path";
import ts from "typescript";

/** Relative imports by file, cached for one run of the linter. */
const importsByFile = new Map();

const sourceOf = (importer, specifier) => join(dirname(importer), specifier.replace(/\.js$/, ".ts"));

const importsOf = file => {
    const known = importsByFile.get(file);
    if (known !== undefined) {
        return known;
    }
    const { importedFiles } = ts.preProcessFile(readFileSync(file, "utf8"));
    const imports = importedFiles
        .map(imported => imported.fileName)
        .filter(specifier => specifier.startsWith("."))
        .map(specifier => sourceOf(file, specifier))
        .filter(imported => existsSync(imported));
    importsByFile.set(file, imports);
    return imports;
};

/** Whether `file` imports `target` directly or indirectly. */
const reaches = (file, target, seen = new Set()) => {
    if (file === target) {
        return true;
    }
    if (seen.has(file)) {
        return false;
    }
    seen.add(file);
    return importsOf(file).some(imported => reaches(imported, target, seen));
};

export const noImportCycle = {
    meta: {
        type: "problem",
        docs: { description: "Forbids import cycles within a package" },
        messages: { cycle: "import cycle: {{specifier}} imports this module directly or indirectly" },
        schema: [],
    },
    create: context => {
        const check = ({ source }) => {
            const specifier = source?.value;
            if (typeof specifier !== "string" || !specifier.startsWith(".")) {
                return;
            }
            const imported = sourceOf(context.filename, specifier);
            if (existsSync(imported) && reaches(imported, context.filename)) {
                context.report({ node: source, messageId: "cycle", data: { specifier } });
            }
        };
        return { ImportDeclaration: check, ExportNamedDeclaration: check, ExportAllDeclaration: check };
    },
};
