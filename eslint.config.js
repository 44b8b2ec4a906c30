/** The rules that the sources are held to. A rule that is off, and each exception, stands here with its reason. */
import js from "@eslint/js";
import jsdoc from "eslint-plugin-jsdoc";
import tseslint from "typescript-eslint";
import { noWithdrawnWords } from "./scripts/eslint/noWithdrawnWords.mjs";
import { withdrawnWords } from "./scripts/eslint/withdrawnWords.mjs";

/**
 * Packages whose public items all have a doc comment, whose functions are short and whose names have no withdrawn word.
 * A package is added here when it is finished, and stays.
 */
const finishedPackages = ["control", "log-storage", "edge", "cli", "platform"];

/** Names with a withdrawn word that stay. `files` is a file or a folder; `names` are whole identifiers. */
const withdrawnWordExceptions = [
  ...["packages/control/src", "packages/edge/src", "packages/cli/src", "platform/src"].map((files) => ({
    files,
    names: ["mark", "markInForce", "owe", "receipt", "isHolder", "beatMs", "links"],
    reason: "fields of the HTTP API v1 and of status, which stay as they are",
  })),
  {
    files: "platform/src",
    names: ["away", "vise", "lathe", "replaceByNewcomerMs"],
    reason: "an outcome that travels, earlier role names that are still accepted, and a setting that keeps its name",
  },
];

/** Files with a function of more than 40 lines that is better left whole, each with its reason. */
const longFunctions = [
  {
    files: "packages/edge/src/fanout/{replicaFollow,shardFollow}.ts",
    reason: "one exchange with a server, in its order",
  },
  {
    files: "packages/edge/src/publishing/publishMessage.ts",
    reason: "a publish from attempt to outcome, step by step",
  },
  {
    files: "packages/edge/src/subscriptions/subscribeTopics.ts",
    reason: "a request from its checks to its confirmation",
  },
  { files: "platform/src/settings/platformSettings.ts", reason: "one table of fields, translated in one place" },
];

/**
 * Rules of the type-checked sets that are off. The count is that of their findings in revision cfeb7d3, where mending
 * them would take more than some forty edits.
 */
const rulesOff = {
  // 911 findings, 646 of them in tests: with `noUncheckedIndexedAccess`, `!` is how a known index is read.
  "@typescript-eslint/no-non-null-assertion": "off",
  // 412 findings (122 with arrow shorthands and `void` allowed): `return this.#stop()` ends a void function early.
  "@typescript-eslint/no-confusing-void-expression": "off",
  // 290 findings: `record["key"]` tells a key of a record from a declared property, `record.key`.
  "@typescript-eslint/dot-notation": "off",
  // 29 findings, 20 of them wrong: a field that changes during an `await` or in a callback still counts as unchanged.
  "@typescript-eslint/no-unnecessary-condition": "off",
};

/** Options of rules of the type-checked sets that are wider than the set's own, with the findings they save. */
const ruleOptions = {
  // 147 findings with the default: `Array<{ … }>` reads better than `{ … }[]` where the element type is long.
  "@typescript-eslint/array-type": ["error", { default: "array-simple" }],
  // 433 findings with the default: numbers, booleans and an absent value print as what they are.
  "@typescript-eslint/restrict-template-expressions": [
    "error",
    {
      allowNumber: true,
      allowBoolean: true,
      allowNullish: true,
      allowAny: false,
      allowRegExp: false,
      allowNever: false,
    },
  ],
  // A string is spread over its letters where these are known to be ASCII.
  "@typescript-eslint/no-misused-spread": ["error", { allow: ["string"] }],
  // node:test reports the failure of a test itself.
  "@typescript-eslint/no-floating-promises": [
    "error",
    { allowForKnownSafeCalls: [{ from: "package", name: ["test", "it", "describe"], package: "node:test" }] },
  ],
  "@typescript-eslint/switch-exhaustiveness-check": ["error", { considerDefaultExhaustiveForUnions: true }],
};

/** Rules to be turned on after the rename, with their findings in revision cfeb7d3. This list is to become empty. */
const rulesPending = {
  "@typescript-eslint/unbound-method": "off", // 19
  "@typescript-eslint/no-unnecessary-type-assertion": "off", // 12, 12 mended by --fix
  "@typescript-eslint/require-await": "off", // 7
  "@typescript-eslint/no-meaningless-void-operator": "off", // 6, 2 mended by --fix
  "@typescript-eslint/no-misused-spread": "off", // 6
  "@typescript-eslint/prefer-optional-chain": "off", // 6
  "@typescript-eslint/consistent-type-definitions": "off", // 4, 4 mended by --fix
  "@typescript-eslint/no-unnecessary-type-conversion": "off", // 3
  "@typescript-eslint/no-unsafe-argument": "off", // 3
  "@typescript-eslint/no-unsafe-assignment": "off", // 2
  "@typescript-eslint/prefer-nullish-coalescing": "off", // 2
  "@typescript-eslint/no-deprecated": "off", // 2
  "@typescript-eslint/no-unsafe-member-access": "off", // 2
  "@typescript-eslint/array-type": "off", // 1, 1 mended by --fix
  "@typescript-eslint/no-base-to-string": "off", // 1
};

/** Test doubles are written as object literals that stand in for a class, and destructured. */
const testRules = {
  "@typescript-eslint/unbound-method": "off", // 50 findings
  "@typescript-eslint/no-unsafe-class-instance-assignment": "off", // 2 findings
};

/** What a doc comment must be. Parameters need no tag: one that repeats a name helps nobody. */
const docRules = {
  "jsdoc/require-jsdoc": [
    "error",
    {
      publicOnly: true,
      checkConstructors: false,
      enableFixer: false,
      require: {
        ArrowFunctionExpression: true,
        ClassDeclaration: true,
        FunctionDeclaration: true,
        FunctionExpression: true,
        MethodDefinition: true,
      },
      contexts: [
        "TSInterfaceDeclaration",
        "TSTypeAliasDeclaration",
        "TSEnumDeclaration",
        "ExportNamedDeclaration > VariableDeclaration",
      ],
    },
  ],
  "jsdoc/check-alignment": "error",
  "jsdoc/check-param-names": ["error", { disableMissingParamChecks: true }],
  "jsdoc/check-tag-names": ["error", { typed: true }],
  "jsdoc/empty-tags": "error",
  "jsdoc/informative-docs": "error",
  "jsdoc/multiline-blocks": "error",
  "jsdoc/no-bad-blocks": "error",
  "jsdoc/no-blank-blocks": "error",
  "jsdoc/no-types": "error",
  "jsdoc/require-description": "error",
};

/** Globals of Node.js that scripts use. */
const nodeGlobals = Object.fromEntries(
  ["AbortController", "AbortSignal", "TextDecoder", "console", "fetch", "performance", "process", "setTimeout"].map(
    (name) => [name, "readonly"],
  ),
);

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

const sourcesOf = (name) => (name === "platform" ? "platform/src/**/*.ts" : `packages/${name}/src/**/*.ts`);

/** The rules of a finished package: on names for all its files, on shape and doc comments for all but its tests. */
const finished = finishedPackages.flatMap((name) => [
  {
    files: [sourcesOf(name)],
    plugins: { cranetrack: { rules: { "no-withdrawn-words": noWithdrawnWords } } },
    rules: {
      "cranetrack/no-withdrawn-words": ["error", { words: withdrawnWords, exceptions: withdrawnWordExceptions }],
    },
  },
  {
    files: [sourcesOf(name)],
    ignores: ["**/*.test.ts"],
    plugins: { jsdoc },
    rules: { ...docRules, "max-lines-per-function": ["error", { max: 40 }] },
  },
]);

export default tseslint.config(
  { ignores: ["**/dist/**", "**/gen/**", "node_modules/**", "target/**"] },
  js.configs.recommended,
  {
    rules: {
      "max-len": ["error", 120],
      "max-statements-per-line": ["error", { max: 1 }],
      "no-restricted-syntax": [
        "error",
        { selector: "ExportDefaultDeclaration", message: "named exports only" },
        { selector: "TSAsExpression > TSNeverKeyword", message: hidden },
        { selector: "TSAsExpression > TSAsExpression > TSUnknownKeyword", message: hidden },
      ],
    },
  },
  {
    files: ["**/*.ts"],
    extends: [tseslint.configs.strictTypeChecked, tseslint.configs.stylisticTypeChecked],
    languageOptions: { parserOptions: { projectService: true, tsconfigRootDir: import.meta.dirname } },
    rules: { ...ruleOptions, ...rulesOff, ...rulesPending },
  },
  { files: ["**/*.test.ts"], rules: testRules },
  ...packageImports,
  ...finished,
  ...longFunctions.map(({ files }) => ({ files: [files], rules: { "max-lines-per-function": "off" } })),
  { files: ["eslint.config.js"], rules: { "no-restricted-syntax": "off" } },
  { files: ["**/*.js", "**/*.mjs"], languageOptions: { globals: nodeGlobals } },
);
