import { existsSync, readFileSync } from "node:fs";
import { test } from "node:test";
import { fileURLToPath } from "node:url";
import { expect } from "earl";
import { mutants } from "./sabotages.js";

const pathOf = (name: string): string => fileURLToPath(new URL(`../../../${name}`, import.meta.url));

test("each guard on the list is there to be taken out, and so is the test that should notice", () => {
  const gone = mutants.filter(({ file, find, test: noticing }) => {
    const isThere = existsSync(pathOf(file)) && readFileSync(pathOf(file), "utf8").includes(find);
    return !isThere || !existsSync(pathOf(noticing));
  });
  expect(gone.map(({ name }) => name)).toEqual([]);
});

test("no two guards have one name", () => {
  const names = mutants.map(({ name }) => name);
  expect(names.filter((name, i) => names.indexOf(name) !== i)).toEqual([]);
});
