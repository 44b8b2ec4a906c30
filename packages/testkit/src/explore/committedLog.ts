import { createHash } from "node:crypto";
import { fromBinary } from "@bufbuild/protobuf";
import { entryKind } from "@cranetrack/control/consensus/storeLog.js";
import { MembersSchema, type Entry, type Members } from "@cranetrack/core/gen/cranetrack_pb.js";
import type { ReplicaLog } from "@cranetrack/core/replication/replicaLog.js";
import { Violation } from "./violation.js";

interface Committed {
  term: number;
  digest: string;
  state: string;
}

/** What all members ever committed, as an observer of all of them knows it. */
export class CommittedLog {
  static readonly #digests = new WeakMap<Entry, string>();
  readonly #committed = new Map<number, Committed>();
  /** Every entry that was ever in a log: its content, and the term before it. */
  readonly #seen = new Map<string, string>();
  readonly #members: Array<{ index: number; members: Members }> = [];
  last = 0;

  static digest(entry: Entry): string {
    let digest = CommittedLog.#digests.get(entry);
    if (digest === undefined) {
      digest = `${entry.kind}:${Buffer.from(entry.data).toString("base64")}`;
      CommittedLog.#digests.set(entry, digest);
    }
    return digest;
  }

  /** The last entry about members that a log has, committed or not. */
  static newestMembers(log: ReplicaLog): Members | undefined {
    for (let i = log.lastIndex; i > log.baseIndex; i -= 1) {
      const entry = log.at(i)!;
      if (entry.kind === entryKind.members) return fromBinary(MembersSchema, entry.data);
    }
    return undefined;
  }

  at(index: number): Committed | undefined {
    return this.#committed.get(index);
  }

  /** The committed members in force at an index. */
  membersAt(index: number): Members | undefined {
    return this.#members.findLast((one) => one.index <= index)?.members;
  }

  /** A member applied an entry: the first to do so says what is committed there, for all. */
  applied(name: string, entry: Entry, state: Uint8Array): void {
    const digest = CommittedLog.digest(entry);
    const found = { term: entry.term, digest, state: CommittedLog.#hash(state) };
    const before = this.#committed.get(entry.index);
    if (before === undefined) {
      this.#committed.set(entry.index, found);
      this.last = Math.max(this.last, entry.index);
      if (entry.kind === entryKind.members)
        this.#members.push({ index: entry.index, members: fromBinary(MembersSchema, entry.data) });
    } else if (before.digest !== digest || before.term !== entry.term)
      throw new Violation(
        "state machines agree",
        `${name} applied another entry ${entry.index} (term ${entry.term}) than was committed (term ${before.term})`,
      );
    else if (before.state !== found.state)
      throw new Violation("state machines agree", `${name} has another state after entry ${entry.index}`);
  }

  /** A member took a snapshot that ends at an index. */
  installed(name: string, index: number, term: number, state: Uint8Array): void {
    const before = this.#committed.get(index);
    if (before === undefined)
      throw new Violation("state machines agree", `${name} took a snapshot at ${index}, which was never committed`);
    if (before.term !== term)
      throw new Violation("state machines agree", `${name} took a snapshot at ${index} of another term`);
    if (before.state !== CommittedLog.#hash(state))
      throw new Violation("state machines agree", `${name} took a snapshot at ${index} of another state`);
  }

  /** Log matching: an index and a term say what the entry is, and what came before it. */
  seen(name: string, entry: Entry, termBefore: number): void {
    const key = `${entry.index}:${entry.term}`;
    const text = `${termBefore}|${CommittedLog.digest(entry)}`;
    const before = this.#seen.get(key);
    if (before === undefined) this.#seen.set(key, text);
    else if (before !== text)
      throw new Violation("log matching", `${name} has another entry ${entry.index} of term ${entry.term}`);
  }

  text(): string {
    return `${this.last}:${this.at(this.last)?.term ?? 0}`;
  }

  static #hash(state: Uint8Array): string {
    return createHash("sha1").update(state).digest("base64");
  }
}
