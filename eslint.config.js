import tseslint from "typescript-eslint";

/** Errors of modern-errors are Error objects, but their declared type does not name Error. */
const ERROR_TYPES = [{ from: "package", name: "SpecificErrorInstance", package: "modern-errors" }];

export default tseslint.config(
    { ignores: ["**/dist/**", "**/node_modules/**", "bench-results/**", "target/**"] },
    ...tseslint.configs.recommendedTypeChecked,
    {
        languageOptions: { parserOptions: { projectService: { allowDefaultProject: ["*.js", "*.mjs"] } } },
        rules: {
            "curly": ["error", "all"],
            "eqeqeq": "error",
            "no-var": "error",
            "prefer-const": "error",
            "prefer-arrow-callback": "error",
            "func-style": ["error", "expression"],
            "max-lines-per-function": ["error", { max: 80, skipComments: true, skipBlankLines: true }],
            "@typescript-eslint/no-floating-promises": "error",
            "@typescript-eslint/only-throw-error": ["error", { allow: ERROR_TYPES }],
            "@typescript-eslint/prefer-promise-reject-errors": ["error", { allow: ERROR_TYPES }],
            "@typescript-eslint/restrict-template-expressions": ["error", { allowNumber: true, allowBoolean: true }],
            "@typescript-eslint/naming-convention": [
                "error",
                { selector: "typeLike", format: ["PascalCase"], custom: { regex: "^I[A-Z][a-z]", match: false } },
                {
                    selector: "variable",
                    format: ["camelCase", "UPPER_CASE", "PascalCase"],
                    leadingUnderscore: "forbid",
                },
                { selector: "function", format: ["camelCase"], leadingUnderscore: "forbid" },
                { selector: "method", format: ["camelCase"], leadingUnderscore: "forbid" },
            ],
        },
    },
    { files: ["**/*.js", "**/*.mjs"], ...tseslint.configs.disableTypeChecked },
);
