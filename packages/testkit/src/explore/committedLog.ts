import { createHash } from "node:crypto";
import { fromBinary } from "@bufbuild/protobuf";
import { entryKind } from "@cranetrack/control/consensus/storeLog.js";
import { MembersSchema, type Entry, type Members } from "@cranetrack/core/gen/cranetrack_pb.js";
import type { ReplicaLog } from "@cranetrack/core/replication/replicaLog.js";
import { Violation } from "./violation.js";

/** A committed entry: its term, its contents, and a digest of the state after it was applied. */
interface CommittedEntry {
  term: number;
  digest: string;
  state: string;
}

/** All entries that any member ever committed, as an observer of all members knows them. */
export class CommittedLog {
  static readonly #digests = new WeakMap<Entry, string>();
  readonly #committed = new Map<number, CommittedEntry>();
  /** Every entry that was ever in a log, by `INDEX:TERM`: its content and the term of the entry before it. */
  readonly #entries = new Map<string, string>();
  readonly #membersByIndex: Array<{ index: number; members: Members }> = [];
  lastIndex = 0;

  static digest(entry: Entry): string {
    let digest = CommittedLog.#digests.get(entry);
    if (digest === undefined) {
      digest = `${entry.kind}:${Buffer.from(entry.data).toString("base64")}`;
      CommittedLog.#digests.set(entry, digest);
    }
    return digest;
  }

  /** The newest membership in a log, committed or not; undefined if its entry was compacted. */
  static newestMembers(log: ReplicaLog): Members | undefined {
    for (let i = log.lastIndex; i > log.baseIndex; i -= 1) {
      const entry = log.entryAt(i)!;
      if (entry.kind === entryKind.members) return fromBinary(MembersSchema, entry.data);
    }
    return undefined;
  }

  entryAt(index: number): CommittedEntry | undefined {
    return this.#committed.get(index);
  }

  /** The committed membership in force at an index. */
  membersAt(index: number): Members | undefined {
    return this.#membersByIndex.findLast((change) => change.index <= index)?.members;
  }

  /**
   * A member applied an entry. The first application decides what is committed at its index; all others must agree.
   * @throws Violation if they don't.
   */
  recordApplied(name: string, entry: Entry, state: Uint8Array): void {
    const digest = CommittedLog.digest(entry);
    const applied = { term: entry.term, digest, state: CommittedLog.#hash(state) };
    const before = this.#committed.get(entry.index);
    if (before === undefined) {
      this.#committed.set(entry.index, applied);
      this.lastIndex = Math.max(this.lastIndex, entry.index);
      if (entry.kind === entryKind.members)
        this.#membersByIndex.push({ index: entry.index, members: fromBinary(MembersSchema, entry.data) });
    } else if (before.digest !== digest || before.term !== entry.term)
      throw new Violation(
        "state machines agree",
        `${name} applied another entry ${entry.index} (term ${entry.term}) than was committed (term ${before.term})`,
      );
    else if (before.state !== applied.state)
      throw new Violation("state machines agree", `${name} has another state after entry ${entry.index}`);
  }

  /** A member installed a snapshot that ends at an index: its state must be the one committed there. */
  checkInstalled(name: string, index: number, term: number, state: Uint8Array): void {
    const before = this.#committed.get(index);
    if (before === undefined)
      throw new Violation(
        "state machines agree",
        `${name} installed a snapshot at ${index}, which was never committed`,
      );
    if (before.term !== term)
      throw new Violation("state machines agree", `${name} installed a snapshot at ${index} of another term`);
    if (before.state !== CommittedLog.#hash(state))
      throw new Violation("state machines agree", `${name} installed a snapshot at ${index} of another state`);
  }

  /** Log matching: entries of the same index and term must be the same, and so must the terms before them. */
  checkEntry(name: string, entry: Entry, termBefore: number): void {
    const key = `${entry.index}:${entry.term}`;
    const text = `${termBefore}|${CommittedLog.digest(entry)}`;
    const before = this.#entries.get(key);
    if (before === undefined) this.#entries.set(key, text);
    else if (before !== text)
      throw new Violation("log matching", `${name} has another entry ${entry.index} of term ${entry.term}`);
  }

  text(): string {
    return `${this.lastIndex}:${this.entryAt(this.lastIndex)?.term ?? 0}`;
  }

  static #hash(state: Uint8Array): string {
    return createHash("sha1").update(state).digest("base64");
  }
}
