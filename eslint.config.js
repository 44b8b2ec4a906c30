import js from "@eslint/js";
import tseslint from "typescript-eslint";

const hidden = "a cast through unknown or never hides a type";

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
  { files: ["eslint.config.js"], rules: { "no-restricted-syntax": "off" } },
);
