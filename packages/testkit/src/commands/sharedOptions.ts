import { mkdtempSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { fileURLToPath } from "node:url";

/** The path of this program, for commands that run part of their work in child processes. */
export const programPath = fileURLToPath(new URL("../cranetrack-lab.js", import.meta.url));

/** Options of all commands that start a fleet of real processes. */
export interface FleetOptions {
  /** Where settings, data and logs go. */
  folder?: string;
  /** Settings as `--set` takes them: `key=number`, separated by commas. */
  set?: string;
}

/** Parses the value of `--set` into numbers by key. */
export function settingsOf(list: string | undefined): Record<string, number> {
  const pairs = (list ?? "").split(",").filter((part) => part !== "");
  return Object.fromEntries(pairs.map((pair) => [pair.split("=")[0]!, Number(pair.split("=")[1])]));
}

/** The given folder, or a new temporary one. */
export function folderOf(named: string | undefined): string {
  return named ?? mkdtempSync(join(tmpdir(), "cranetrack-"));
}
