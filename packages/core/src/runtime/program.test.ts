import { spawnSync } from "node:child_process";
import { mkdtempSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { describe, it } from "node:test";
import { expect } from "earl";

const folder = mkdtempSync(join(tmpdir(), "cranetrack-program-"));
const file = (name: string, content: object): string => {
  const path = join(folder, name);
  writeFileSync(path, JSON.stringify(content));
  return path;
};
const settings = {
  name: "control-1",
  zone: "north",
  address: "127.0.0.1:7001",
  seeds: ["127.0.0.1:7001"],
  data: join(folder, "data"),
};

/** Runs a control program whose role fails to build, so that it exits and prints its log before it opens a port. */
function runProgram(...flags: string[]): { status: number | null; out: string; err: string } {
  const script =
    `import { Program } from ${JSON.stringify(new URL("./program.js", import.meta.url).href)};` +
    'const build = () => { throw new Error("nothing to build"); };' +
    'await new Program("lathe", [], build).run(["node", "program", ...process.argv.slice(1)]);';
  const child = spawnSync(process.execPath, ["--input-type=module", "-e", script, "--", ...flags], {
    encoding: "utf8",
  });
  return { status: child.status, out: child.stdout, err: child.stderr };
}
const flagsOf = (values: Record<string, unknown>): string[] =>
  Object.entries(values).flatMap(([key, value]) => [`--${key}`, String(value)]);

describe("names of earlier versions on the command line", () => {
  for (const role of ["control", "lathe"])
    it(`accepts role ${role} from a file, and the number of control nodes under either name`, () => {
      for (const key of ["controlNodes", "lathes"]) {
        const path = file(`${role}-${key}.json`, { ...settings, role, [key]: 3 });
        const { status, out } = runProgram("--settings", path, "--check");
        expect({ status, out }).toEqual({ status: 0, out: "settings are good\n" });
      }
    });

  it("accepts flags under either name, and prints a notice for earlier names only", () => {
    expect(runProgram(...flagsOf({ ...settings, controlNodes: 3 }), "--check")).toEqual({
      status: 0,
      out: "settings are good\n",
      err: "",
    });
    expect(runProgram(...flagsOf({ ...settings, lathes: 3, holderLeaseMs: 1700 }), "--check")).toEqual({
      status: 0,
      out: "settings are good\n",
      err:
        "setting lathes is now called controlNodes; the earlier name is still accepted\n" +
        "setting holderLeaseMs is now called shardLeaseMs; the earlier name is still accepted\n",
    });
  });

  it("logs one line for each earlier name that was given", () => {
    const path = file("earlier.json", { ...settings, role: "lathe", lathes: 3, mostLinks: 9 });
    const { status, err } = runProgram("--settings", path);
    expect(status).toEqual(3);
    const logged = err
      .split("\n")
      .filter((line) => line.startsWith("{"))
      .map((line) => (JSON.parse(line) as { text: string }).text);
    expect(logged.slice(0, 3)).toEqual([
      "setting lathes is now called controlNodes; the earlier name is still accepted",
      "setting mostLinks is now called maxConnections; the earlier name is still accepted",
      "role lathe is now called control; the earlier name is still accepted",
    ]);
    expect(logged.filter((text) => text.includes("is now called")).length).toEqual(3);
  });

  it("rejects both names of a setting with exit code 2, also if one is in the file and one is a flag", () => {
    const line = "lathes: is the earlier name of controlNodes, and both are given; keep controlNodes\n";
    const path = file("file.json", { ...settings, role: "control", lathes: 3 });
    for (const flags of [
      flagsOf({ ...settings, lathes: 3, controlNodes: 3 }),
      ["--settings", path, "--controlNodes", "3"],
    ])
      expect(runProgram(...flags)).toEqual({ status: 2, out: "", err: line });
  });

  it("rejects an unknown role with exit code 2 and lists the known ones", () => {
    const { status, err } = runProgram(
      "--settings",
      file("role.json", { ...settings, role: "hammer", controlNodes: 3 }),
    );
    expect(status).toEqual(2);
    for (const known of ["control", "storage", "edge"]) expect(err).toEqual(expect.includes(`"${known}"`));
  });
});
