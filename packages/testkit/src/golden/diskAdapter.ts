/**
 * The only file of the golden data folders that knows the product's names. The tests, the script that made the folders
 * and their helpers use the names exported here, so that they stay as they are when the product's names change.
 */
import { fileURLToPath } from "node:url";
import { storeCompaction } from "@cranetrack/control/consensus/storeLog.js";
import { Replica } from "@cranetrack/log-storage/replication/replica.js";
import { ReplicaLog } from "@cranetrack/core/replication/replicaLog.js";
import { Checksum } from "@cranetrack/core/rpc/checksum.js";
import type { Disk, DiskChange } from "@cranetrack/core/storage/disk.js";
import { JournalDisk } from "@cranetrack/core/storage/journalDisk.js";
import { JournalRecord } from "@cranetrack/core/storage/journalRecord.js";
import { LmdbDisk } from "@cranetrack/core/storage/lmdbDisk.js";
import { ChecksummedDisk } from "@cranetrack/core/storage/checksummedDisk.js";

/** How a data folder is kept; the values of the setting `disk`. */
export type DiskKind = "lmdb" | "journal";
/** The three kinds of program that a fleet is made of. */
export type NodeKind = "control" | "storage" | "edge";

/** A key of a data folder and its bytes. */
export interface DiskRecord {
  readonly key: string;
  readonly value: Uint8Array;
}
/** A record that is written, or whose key is removed where `value` is undefined. */
export interface RecordChange {
  readonly key: string;
  readonly value: Uint8Array | undefined;
}
/** One group commit of a journal, and the byte at which the next one begins. */
export interface JournalCommit {
  readonly sequence: number;
  readonly end: number;
  readonly changes: readonly RecordChange[];
}
/** An open data folder. */
export interface OpenDisk {
  read(): DiskRecord[];
  write(changes: readonly RecordChange[]): Promise<void>;
  close(): Promise<void>;
}
/** What a replicated log says of itself once it is read from its records. */
export interface LogContent {
  readonly term: number;
  readonly vote: string;
  readonly snapshotIndex: number;
  readonly snapshotTerm: number;
  readonly lastIndex: number;
  readonly entries: ReadonlyArray<{ index: number; term: number; kind: number; data: Uint8Array }>;
  /** What is damaged, if anything is. */
  readonly fault: string | undefined;
}
/** What a node of a small fleet is started with. */
export interface NodeSettings {
  readonly node: NodeKind;
  readonly name: string;
  readonly address: string;
  readonly http: string;
  readonly seeds: readonly string[];
  readonly logFile: string;
  readonly disk: DiskKind;
  /** Undefined for an edge, which keeps nothing. */
  readonly dataFolder: string | undefined;
}

const programs: Record<NodeKind, string> = {
  control: "@cranetrack/control/cranetrack-control.js",
  storage: "@cranetrack/log-storage/cranetrack-storage.js",
  edge: "@cranetrack/edge/cranetrack-edge.js",
};
const roles: Record<NodeKind, string> = { control: "lathe", storage: "anvil", edge: "vise" };

/** The built program of a kind of node, as a path that node can run. */
export function programFile(node: NodeKind): string {
  return fileURLToPath(import.meta.resolve(programs[node]));
}

/** The content of the settings file of a node in a fleet of one control node and one replica a shard. */
export function settingsContent(settings: NodeSettings): object {
  const { node, name, address, http, seeds, logFile, disk, dataFolder } = settings;
  return {
    name,
    role: roles[node],
    zone: "north",
    address,
    http,
    seeds,
    lathes: 1,
    replicas: 1,
    shards: 4,
    log: logFile,
    ...(dataFolder === undefined ? {} : { data: dataFolder, disk }),
  };
}

/** The members of the store that vote, and the store's identity, in the status of a control node. */
export function storeInStatus(status: Record<string, unknown>): { voters: unknown; member: unknown; store: unknown } {
  const { founding, raft } = status as {
    founding?: { id: string; founded: string };
    raft?: { voters: string[] } | null;
  };
  return { voters: raft?.voters, member: founding?.id, store: founding?.founded };
}

/** How many connections an edge has, in its status. */
export function connectionsInStatus(status: Record<string, unknown>): unknown {
  return status["links"];
}

/** Makes logs of this process write snapshots after a few entries, so that a golden folder stays small. */
export function lowerSnapshotBounds(): void {
  const kept = { entries: 3, bytes: 65_536 };
  Object.assign(storeCompaction, { entries: 12, kept });
  Object.assign(Replica.compaction, { entries: 20, kept });
}

/** Opens a data folder with its values as they lie on the disk, checksums included. */
export async function openDisk(kind: DiskKind, folder: string): Promise<OpenDisk> {
  const disk = kind === "journal" ? await JournalDisk.open(folder) : new LmdbDisk(folder);
  return {
    read: () => disk.read(""),
    write: (changes) => disk.write(changes.map(toDiskChange)),
    close: () => disk.close(),
  };
}

/** The values without their checksums; fails where one of them does not fit. */
export function withoutChecksums(records: readonly DiskRecord[]): DiskRecord[] {
  return new ChecksummedDisk(memoryDisk(records)).read("");
}

/** A value behind its checksum, as it lies on the disk. */
export function withChecksum(value: Uint8Array): Uint8Array {
  return Checksum.prepend(value);
}

/** The group commit that begins at a byte of a journal; undefined where there is none. */
export function decodeJournalCommit(bytes: Buffer, start: number): JournalCommit | undefined {
  const record = JournalRecord.decode(bytes, start);
  if (record === undefined || !("sequence" in record)) return undefined;
  const changes = record.changes.map(({ key, value }) => ({
    key,
    value: value && bytes.subarray(start + value.at, start + value.at + value.length),
  }));
  return { sequence: record.sequence, end: record.end, changes };
}

/** The bytes of one group commit in a journal. */
export function encodeJournalCommit(sequence: number, changes: readonly RecordChange[]): Buffer {
  return JournalRecord.encode(sequence, changes.map(toDiskChange));
}

/** Reads a replicated log from the records (without checksums) of a data folder. */
export function readLog(records: readonly DiskRecord[], group: string): LogContent {
  const log = new ReplicaLog(memoryDisk(records), group);
  const entries = log.entriesAfter(log.baseIndex, Infinity);
  return {
    term: log.term,
    vote: log.vote,
    snapshotIndex: log.snapshotIndex,
    snapshotTerm: log.snapshotTerm,
    lastIndex: log.lastIndex,
    entries: entries.map(({ index, term, kind, data }) => ({ index, term, kind, data })),
    fault: log.findDamage(),
  };
}

/** Writes the content of a log to a blank disk, as a follower does; returns the records that this gives. */
export async function rewriteLog(records: readonly DiskRecord[], group: string): Promise<DiskRecord[]> {
  const old = new ReplicaLog(memoryDisk(records), group);
  const written = new Map<string, Uint8Array>();
  const log = new ReplicaLog(memoryDisk([], written), group);
  await log.saveTermAndVote(old.term, old.vote);
  if (old.snapshotIndex > 0) await log.installSnapshot(old.snapshotIndex, old.snapshotTerm, old.snapshot);
  await log.append(old.entriesAfter(old.snapshotIndex, Infinity));
  return [...written].map(([key, value]) => ({ key, value }));
}

function toDiskChange({ key, value }: RecordChange): DiskChange {
  return value === undefined ? { key, isRemoved: true } : { key, value };
}

function memoryDisk(records: readonly DiskRecord[], written = new Map<string, Uint8Array>()): Disk {
  for (const { key, value } of records) written.set(key, value);
  return {
    read: (prefix) =>
      [...written]
        .filter(([key]) => key.startsWith(prefix))
        .sort(([first], [second]) => (first < second ? -1 : 1))
        .map(([key, value]) => ({ key, value })),
    write: (changes) => {
      for (const change of changes) {
        if ("isRemoved" in change) written.delete(change.key);
        else written.set(change.key, change.value);
      }
      return Promise.resolve();
    },
  };
}
