// An ESLint rule against modules of a package that import each other, also by way of others. Imports of types count:
// modules that need each other's types cannot be read one by one. Packages cannot form a cycle, as the references of
// their tsconfig files would not build.
import { existsSync, readFileSync } from "node:fs";
import { dirname, join } from "node:path";
import ts from "typescript";

/** Modules that each file imports by a relative path; read once for a run of the linter. */
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

/** True if `target` can be reached from `file`. */
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
        docs: { description: "Forbids modules that import each other" },
        messages: { cycle: "{{specifier}} imports this module, directly or by way of others" },
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
