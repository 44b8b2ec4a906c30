import js from "@eslint/js";
import tseslint from "typescript-eslint";

const hidden = "a cast through unknown or never hides a type";

/** Imports go one way: platform and cli above edge, control and log-storage, these above core. */
const importsOf = {
  core: [],
  "log-storage": ["core"],
  control: ["core", "log-storage"],
  edge: ["core", "log-storage", "control"],
  cli: ["core"],
};

const packageImports = Object.entries(importsOf).map(([name, allowed]) => ({
  files: [`packages/${name}/src/**/*.ts`],
  rules: {
    "no-restricted-imports": [
      "error",
      {
        patterns: [
          {
            group: ["core", "log-storage", "control", "edge", "cli", "testkit", "platform"]
              .filter((other) => other !== name && !allowed.includes(other))
              .map((other) => `@cranetrack/${other}/**`),
            message: `${name} imports only from ${["itself", ...allowed].join(", ")}`,
          },
        ],
      },
    ],
  },
}));

export default tseslint.config(
  { ignores: ["**/dist/**", "**/gen/**", "node_modules/**", "target/**"] },
  js.configs.recommended,
  ...tseslint.configs.recommended,
  {
    rules: {
      "max-lines": ["error", 400],
      "max-len": ["error", 120],
      "max-statements-per-line": ["error", { max: 1 }],
      "no-restricted-syntax": [
        "error",
        { selector: "ExportDefaultDeclaration", message: "named exports only" },
        { selector: "TSAsExpression > TSNeverKeyword", message: hidden },
        { selector: "TSAsExpression > TSAsExpression > TSUnknownKeyword", message: hidden },
      ],
      "@typescript-eslint/no-explicit-any": "error",
    },
  },
  {
    files: ["**/*.ts"],
    languageOptions: { parserOptions: { projectService: true, tsconfigRootDir: import.meta.dirname } },
    rules: {
      "@typescript-eslint/await-thenable": "error",
      "@typescript-eslint/no-floating-promises": [
        "error",
        { allowForKnownSafeCalls: [{ from: "package", name: "test", package: "node:test" }] },
      ],
      "@typescript-eslint/no-misused-promises": "error",
      "@typescript-eslint/switch-exhaustiveness-check": ["error", { considerDefaultExhaustiveForUnions: true }],
    },
  },
  ...packageImports,
  { files: ["eslint.config.js"], rules: { "no-restricted-syntax": "off" } },
);
