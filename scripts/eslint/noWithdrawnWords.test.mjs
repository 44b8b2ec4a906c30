/** Tests of the rule `no-withdrawn-words`: which names it reports, and what it leaves alone. */
import { deepEqual } from "node:assert/strict";
import { describe, it } from "node:test";
import { RuleTester } from "eslint";
import tseslint from "typescript-eslint";
import { noWithdrawnWords, wordsOf } from "./noWithdrawnWords.mjs";
import { withdrawnWords } from "./withdrawnWords.mjs";

RuleTester.describe = describe;
RuleTester.it = it;

const words = { mark: "version", plan: "configuration" };
const exceptions = [{ files: "packages/edge/src/http", names: ["markText"], reason: "a field of the HTTP API v1" }];

const declarations = [
  ["a variable", "const planText = 1;"],
  ["an upper-case constant", "const PLAN_KEY = 1;"],
  ["an object pattern", "const { text: planText } = read();"],
  ["a shorthand pattern", "const { plan } = read();"],
  ["a pattern's default", "const { text: plan = 1 } = read();"],
  ["the rest of a pattern", "const { text, ...plan } = read();"],
  ["an array pattern", "const [, plan] = read();"],
  ["a function", "function readPlan() {}"],
  ["a function's parameter", "function read(plan: string) {}"],
  ["a parameter with a default", "function read(plan = 1) {}"],
  ["the rest of the parameters", "function read(...plan: string[]) {}"],
  ["an overload's parameter", "function read(plan: string): void; function read() {}"],
  ["an arrow function's parameter", "read((plan) => 1);"],
  ["a caught error", "try { read(); } catch (plan) {}"],
  ["a class", "class PlanReader {}"],
  ["a private field", "class Reader { #plan = 1; }"],
  ["a field", "class Reader { plan = 1; }"],
  ["an abstract field", "abstract class Reader { abstract plan: string; }"],
  ["a method", "class Reader { readPlan() {} }"],
  ["an abstract method", "abstract class Reader { abstract readPlan(): void; }"],
  ["a method's parameter", "class Reader { read(plan: string) {} }"],
  ["a getter", "class Reader { get plan() { return 1; } }"],
  ["a parameter property", "class Reader { constructor(readonly plan: string) {} }"],
  ["an interface", "interface PlanReader {}"],
  ["an interface's property", "interface Reader { plan: string }"],
  ["an interface's method", "interface Reader { readPlan(): void }"],
  ["the parameter of an interface's method", "interface Reader { read(plan: string): void }"],
  ["the parameter of a function type", "type Read = (plan: string) => void;"],
  ["a type", "type PlanText = string;"],
  ["a type parameter", "type Text<Plan> = Plan[];"],
  ["an enum", "enum PlanKind {}"],
  ["an enum's member", "enum Kind { Plan }"],
  ["a property of an object", "read({ plan: 1 });"],
  ["a method of an object", "read({ plan() {} });"],
  ["an import under another name", 'import { text as plan } from "./text.js";'],
  ["a default import", 'import plan from "./text.js";'],
  ["a namespace import", 'import * as plan from "./text.js";'],
  ["an export under another name", "const text = 1; export { text as plan };"],
];

const untouched = [
  ["a word inside a longer word", "const planet = 1, marker = 2;"],
  ["an import under its own name", 'import { plan } from "./plan.js";'],
  ["a property that is read", "read(other.plan, other.plan.mark);"],
  ["a shorthand property", "read({ plan });"],
  ["a quoted key", 'read({ "plan": 1 });'],
  ["a computed key", "read({ [PLAN]: 1 });"],
  ["a quoted key of a pattern", 'const { "plan": text } = read();'],
  ["a pattern's source name", "const { plan: text } = read();"],
  ["text and comments", 'const text = "plan"; // plan'],
  ["words that objects inherit", "const constructor = 1, valueOf = 2;"],
];

const tester = new RuleTester({ languageOptions: { parser: tseslint.parser } });
tester.run("no-withdrawn-words", noWithdrawnWords, {
  valid: [
    ...untouched.map(([name, code]) => ({ name, code, options: [{ words }] })),
    {
      name: "an exception in its folder",
      code: "const markText = 1;",
      filename: "packages/edge/src/http/reply.ts",
      options: [{ words, exceptions }],
    },
  ],
  invalid: [
    ...declarations.map(([name, code]) => ({
      name,
      code,
      options: [{ words }],
      errors: [{ messageId: "withdrawn" }],
    })),
    {
      name: "each withdrawn word of a name, with its term",
      code: "const planMark = 1;",
      options: [{ words }],
      errors: [
        { message: "'planMark': the word 'plan' is withdrawn; use the standard term (configuration)" },
        { message: "'planMark': the word 'mark' is withdrawn; use the standard term (version)" },
      ],
    },
    {
      name: "an exception's name in a folder whose name only begins alike",
      code: "const markText = 1;",
      filename: "packages/edge/src/httpServer/reply.ts",
      options: [{ words, exceptions }],
      errors: [{ messageId: "withdrawn" }],
    },
    {
      name: "another name in an exception's folder",
      code: "const markTexts = 1;",
      filename: "packages/edge/src/http/reply.ts",
      options: [{ words, exceptions }],
      errors: [{ messageId: "withdrawn" }],
    },
  ],
});

describe("wordsOf", () => {
  const names = [
    ["planMarkOf", ["plan", "mark", "of"]],
    ["#ownPlan", ["own", "plan"]],
    ["PLAN_KEY", ["plan", "key"]],
    ["HTTPLink", ["http", "link"]],
    ["plan2Text", ["plan2", "text"]],
    ["_", []],
  ];
  for (const [name, expected] of names)
    it(`splits ${name}`, () => {
      deepEqual(wordsOf(name), expected);
    });
});

describe("withdrawnWords", () => {
  it("lists single words in lower case, in order, each with a term that is not withdrawn itself", () => {
    const listed = Object.keys(withdrawnWords);
    deepEqual(listed, [...listed].sort());
    for (const [word, term] of Object.entries(withdrawnWords)) {
      deepEqual(wordsOf(word), [word]);
      deepEqual(
        wordsOf(term).filter((other) => Object.hasOwn(withdrawnWords, other)),
        [],
        word,
      );
    }
  });
});
