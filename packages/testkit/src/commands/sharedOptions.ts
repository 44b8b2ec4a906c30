import { mkdtempSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { fileURLToPath } from "node:url";

/** The program itself, for commands that run parts of their work in processes of their own. */
export const programPath = fileURLToPath(new URL("../cranetrack-lab.js", import.meta.url));

/** Options of all commands that start a fleet of real processes. */
export interface FleetOptions {
  folder?: string;
  /** As `--set` gives them: `key=number` parted by commas. */
  set?: string;
}

/** What `--set` says, by key. */
export function settingsOf(list: string | undefined): Record<string, number> {
  const pairs = (list ?? "").split(",").filter((part) => part !== "");
  return Object.fromEntries(pairs.map((pair) => [pair.split("=")[0]!, Number(pair.split("=")[1])]));
}

/** The folder asked for, or a new temporary one. */
export function folderOf(named: string | undefined): string {
  return named ?? mkdtempSync(join(tmpdir(), "cranetrack-"));
}
