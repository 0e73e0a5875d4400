import js from "@eslint/js";
import tseslint from "typescript-eslint";
import { noImportCycle } from "./scripts/eslint-rules/no-import-cycle.mjs";

const noNull = {
    selector: "Literal[raw='null']",
    message: "Use undefined instead of null.",
};

export default tseslint.config(
    { ignores: ["**/dist/", "**/gen/", ".run/", "target/", "journal/"] },
    js.configs.recommended,
    {
        files: ["**/*.mjs", "**/bin/*.js"],
        languageOptions: { globals: { process: "readonly", console: "readonly" } },
    },
    {
        files: ["**/*.ts"],
        extends: [...tseslint.configs.recommendedTypeChecked],
        languageOptions: { parserOptions: { project: "./tsconfig.test.json", tsconfigRootDir: import.meta.dirname } },
        plugins: { almondusher: { rules: { "no-import-cycle": noImportCycle } } },
        rules: {
            "almondusher/no-import-cycle": "error",
            curly: "error",
            eqeqeq: "error",
            "one-var": ["error", "never"],
            "prefer-arrow-callback": "error",
            "no-restricted-syntax": ["error", noNull],
            "@typescript-eslint/switch-exhaustiveness-check": "error",
            "@typescript-eslint/consistent-type-imports": "error",
            "@typescript-eslint/no-unused-vars": ["error", { argsIgnorePattern: "^unused" }],
            "@typescript-eslint/no-floating-promises": "error",
            "@typescript-eslint/naming-convention": [
                "error",
                { selector: "default", format: ["camelCase"], leadingUnderscore: "forbid" },
                { selector: "import", format: ["camelCase", "PascalCase"] },
                { selector: "variable", format: ["camelCase", "UPPER_CASE", "PascalCase"] },
                { selector: "typeLike", format: ["PascalCase"], custom: { regex: "^I[A-Z][a-z]", match: false } },
                { selector: "enumMember", format: ["PascalCase"] },
                {
                    selector: ["objectLiteralProperty", "typeProperty", "classProperty", "objectLiteralMethod"],
                    format: null,
                },
            ],
        },
    },
    {
        // node:test returns promises that the runner itself awaits.
        files: ["**/test/**/*.ts"],
        rules: { "@typescript-eslint/no-floating-promises": "off" },
    },
);
