import { create } from "@bufbuild/protobuf";
import { SnapshotSchema, type ShardPullReply } from "@cranetrack/core/gen/cranetrack_pb.js";
import { SnapshotAssembly } from "@cranetrack/core/replication/snapshotAssembly.js";
import type { Replica } from "../replication/replica.js";

/** Asks the replica with the better log for what follows an index, or for its snapshot from a byte on. */
export type AskForLog = (after: number, offset: number) => Promise<ShardPullReply | undefined>;

/**
 * Brings a new leader's log up to that of the best replica that pledged: entries, behind a snapshot in pieces where
 * they do not reach back far enough. Nothing is replaced before all pieces are there and can be read.
 */
export class LogPull {
  /** A question without an answer is asked again: it changes nothing where it is asked. */
  static readonly tries = 3;

  readonly #replica: Replica;
  readonly #epoch: number;
  readonly #ask: AskForLog;
  readonly #assembly = new SnapshotAssembly();
  #after: number;
  #offset = 0;
  #refused = 0;

  constructor(replica: Replica, epoch: number, ask: AskForLog) {
    this.#replica = replica;
    this.#epoch = epoch;
    this.#ask = ask;
    this.#after = replica.applied;
  }

  /** False where the log could not be had up to an index. */
  async run(lastIndex: number): Promise<boolean> {
    while (this.#after < lastIndex) {
      const answer = await this.#answer();
      if (answer === undefined) return false;
      const isOn = answer.isWhole ? await this.#takePiece(answer) : await this.#takeEntries(answer);
      if (!isOn) return false;
    }
    return true;
  }

  async #answer(): Promise<ShardPullReply | undefined> {
    for (let tries = 0; tries < LogPull.tries; tries += 1) {
      const answer = await this.#ask(this.#after, this.#offset);
      if (answer !== undefined) return answer;
    }
    return undefined;
  }

  async #takeEntries({ entries }: ShardPullReply): Promise<boolean> {
    if (entries.length === 0 || entries.some((entry, i) => entry.index !== this.#after + 1 + i)) return false;
    await this.#replica.takePulled(entries);
    this.#after = entries.at(-1)!.index;
    return true;
  }

  async #takePiece({
    baseIndex: index,
    baseTerm: indexTerm,
    snapshot,
    size,
    checksum,
  }: ShardPullReply): Promise<boolean> {
    if (this.#replica.hasSnapshot(index, indexTerm)) return this.#goOnFrom(index);
    const piece = { term: this.#epoch, index, indexTerm, state: snapshot, offset: this.#offset, size, checksum };
    const outcome = this.#assembly.take(create(SnapshotSchema, piece));
    if (outcome.kind === "whole")
      return (await this.#replica.installPulled(index, indexTerm, outcome.state)) && this.#goOnFrom(index);
    this.#offset = outcome.received;
    if (outcome.kind === "refused") this.#refused += 1;
    // Refused in the middle: the other has compacted its log, and is asked for its new snapshot.
    return this.#refused < LogPull.tries;
  }

  #goOnFrom(index: number): boolean {
    const isFurther = index > this.#after;
    this.#after = Math.max(this.#after, index);
    this.#offset = 0;
    return isFurther;
  }
}
