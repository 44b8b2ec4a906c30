import { execFileSync } from "node:child_process";
import { readFileSync, writeFileSync } from "node:fs";
import { fileURLToPath } from "node:url";
import type { MeasuredSlope } from "../capacity/slopes.js";
import { slopeRuns, type SlopeRun } from "./slopeRuns.js";

const path = fileURLToPath(new URL("../../slopes.json", import.meta.url));
const lab = fileURLToPath(new URL("../cranetrack-lab.js", import.meta.url));

/** The one file that the capacity page's figures come from. */
export const SlopeRecord = {
  read(): Record<string, MeasuredSlope> {
    return JSON.parse(readFileSync(path, "utf8")) as Record<string, MeasuredSlope>;
  },

  write(name: string, measured: MeasuredSlope): void {
    const all = { ...SlopeRecord.read(), [name]: measured };
    const sorted = Object.fromEntries(Object.keys(slopeRuns).flatMap((key) => (all[key] ? [[key, all[key]]] : [])));
    const text = JSON.stringify(sorted, null, 2).replace(/\[\s+([\d.-]+),\s+([\d.-]+)\s+\]/g, "[$1, $2]");
    writeFileSync(path, `${text}\n`);
  },

  find(name: string): SlopeRun {
    const run = slopeRuns[name];
    if (run === undefined)
      throw new Error(`no slope is called ${name}; there are ${Object.keys(slopeRuns).join(", ")}`);
    return run;
  },

  /** Each size in a process of its own, so that none works in what another left behind. */
  measure(name: string, sizes?: readonly number[]): MeasuredSlope {
    const run = SlopeRecord.find(name);
    const valueAt = (size: number): number =>
      Number(execFileSync(process.execPath, [lab, "slope", name, "--only", `${size}`], { encoding: "utf8" }));
    const points = (sizes ?? run.sizes).map((size): [number, number] => [size, valueAt(size)]);
    const { what, unit, per } = run;
    const command = `jig slope ${name}${sizes === undefined ? "" : ` --sizes ${sizes.join()}`}`;
    return { what, unit, per, points, command, date: new Date().toISOString().slice(0, 16), commit: commit() };
  },
};

function commit(): string {
  const folder = fileURLToPath(new URL(".", import.meta.url));
  const git = (...args: string[]): string => execFileSync("git", args, { cwd: folder, encoding: "utf8" }).trim();
  return git("rev-parse", "--short", "HEAD");
}
