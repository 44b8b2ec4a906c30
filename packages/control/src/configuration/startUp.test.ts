import { spawnSync } from "node:child_process";
import { test } from "node:test";
import { expect } from "earl";

const hooks = `export async function resolve(name, context, next) {
  if (name === "arktype") throw new Error("arktype is loaded");
  return next(name, context);
}`;
const url = (code: string): string => `data:text/javascript,${encodeURIComponent(code)}`;
const guard = url(`import { register } from "node:module"; register(${JSON.stringify(url(hooks))});`);

function load(path: string): string {
  const code = `await import(${JSON.stringify(new URL(path, import.meta.url).href)});`;
  const { stderr } = spawnSync(process.execPath, ["--import", guard, "--input-type=module", "-e", code]);
  return /arktype is loaded/.exec(stderr.toString())?.[0] ?? stderr.toString();
}

test("a control node, its calls and the check of a configuration load without arktype; only settings need it", () => {
  expect(load("../controlNode.js")).toEqual("");
  expect(load("readDocument.js")).toEqual("");
  expect(load("proposeConfiguration.js")).toEqual("");
  expect(load("../../../core/dist/configuration/configurationSchema.js")).toEqual("");
  expect(load("../../../core/dist/runtime/settings.js")).toEqual("arktype is loaded");
});
