import js from "@eslint/js";
import tseslint from "typescript-eslint";

export default tseslint.config(
  { ignores: ["**/dist/**", "**/gen/**", "node_modules/**"] },
  js.configs.recommended,
  ...tseslint.configs.recommended,
  {
    rules: {
      "max-lines": ["error", 400],
      "no-restricted-syntax": ["error", { selector: "ExportDefaultDeclaration", message: "named exports only" }],
      "@typescript-eslint/no-explicit-any": "error",
    },
  },
  { files: ["eslint.config.js"], rules: { "no-restricted-syntax": "off" } },
);
