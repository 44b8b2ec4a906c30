/** What is checked in beside the golden data folders: what is to be read from them. */
import { cpSync, mkdtempSync, readFileSync, renameSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import type { DiskKind } from "./diskAdapter.js";
import type { WrittenRecord } from "./diskContent.js";
import { goldenFolder, nodesWithData } from "./diskFleet.js";

/** The control node's archive of accepted configurations is a Git repository. */
export const archive = "control/plans/.git";
/** The archive under a name that Git takes into another repository. */
export const checkedInArchive = "control/plans/git-folder";

/** An accepted message, and the cursor that its publisher was given. */
export interface PublishedMessage {
  readonly sender: string;
  readonly topic: string;
  readonly number: number;
  readonly payload: string;
  readonly cursor: string;
}
/** All records of a data folder, in the order of their keys. */
export interface FolderExpectation {
  readonly records: readonly WrittenRecord[];
}
/** What clients and operators had done when the fleet was stopped. */
export interface ClientExpectation {
  /** The accepted configurations, the one in force last, as they were sent. */
  readonly configurations: readonly string[];
  /** In the order of their acceptance; the session `reader` was disconnected between the two lists. */
  readonly whileConnected: readonly PublishedMessage[];
  readonly afterDisconnect: readonly PublishedMessage[];
}
/** The content of `expected.json`. */
export interface GoldenExpectation {
  readonly control: FolderExpectation;
  readonly storage: FolderExpectation;
  readonly clients: ClientExpectation;
}

/** The written expectation of a disk kind. */
export function expectationFor(kind: DiskKind): GoldenExpectation {
  return JSON.parse(readFileSync(join(goldenFolder, kind, "expected.json"), "utf8")) as GoldenExpectation;
}

/** A copy of a disk kind's data folders, which may be opened and written to. */
export function copyOfFolders(kind: DiskKind): string {
  const folder = mkdtempSync(join(tmpdir(), "cranetrack-golden-"));
  for (const node of nodesWithData) cpSync(join(goldenFolder, kind, node), join(folder, node), { recursive: true });
  renameSync(join(folder, checkedInArchive), join(folder, archive));
  return folder;
}
