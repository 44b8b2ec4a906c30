import { spawnSync } from "node:child_process";
import { test } from "node:test";
import { expect } from "earl";

const resolveHook = `export async function resolve(name, context, next) {
  if (name === "arktype") throw new Error("arktype is loaded");
  return next(name, context);
}`;
const dataUrl = (code: string): string => `data:text/javascript,${encodeURIComponent(code)}`;
/** A module that makes every import of arktype fail. */
const arktypeGuard = dataUrl(
  `import { register } from "node:module"; register(${JSON.stringify(dataUrl(resolveHook))});`,
);

/** The error output of a process that loads the module while arktype can't be imported; empty if it succeeds. */
function loadWithoutArktype(path: string): string {
  const code = `await import(${JSON.stringify(new URL(path, import.meta.url).href)});`;
  const { stderr } = spawnSync(process.execPath, ["--import", arktypeGuard, "--input-type=module", "-e", code]);
  return /arktype is loaded/.exec(stderr.toString())?.[0] ?? stderr.toString();
}

test("a control node, its calls and the configuration schema load without arktype; only settings need it", () => {
  expect(loadWithoutArktype("../controlNode.js")).toEqual("");
  expect(loadWithoutArktype("readDocument.js")).toEqual("");
  expect(loadWithoutArktype("proposeConfiguration.js")).toEqual("");
  expect(loadWithoutArktype("../../../core/dist/configuration/configurationSchema.js")).toEqual("");
  expect(loadWithoutArktype("../../../core/dist/runtime/settings.js")).toEqual("arktype is loaded");
});
