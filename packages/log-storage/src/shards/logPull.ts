import { create } from "@bufbuild/protobuf";
import { SnapshotSchema, type ShardPullReply } from "@cranetrack/core/gen/cranetrack_pb.js";
import { SnapshotAssembly } from "@cranetrack/core/replication/snapshotAssembly.js";
import type { Replica } from "../replication/replica.js";

/** Asks the replica with the better log for what follows an index, or for its snapshot from a byte on. */
export type RequestLog = (after: number, offset: number) => Promise<ShardPullReply | undefined>;

/**
 * Brings a new leader's log up to that of the best replica that pledged: entries, behind a snapshot in pieces where
 * they do not reach back far enough. Nothing is replaced before all pieces are there and can be read.
 */
export class LogPull {
  /** A question without an answer is asked again: it changes nothing where it is asked. */
  static readonly maxAttempts = 3;

  readonly #replica: Replica;
  readonly #epoch: number;
  readonly #request: RequestLog;
  readonly #assembly = new SnapshotAssembly();
  #after: number;
  #offset = 0;
  #rejectedChunks = 0;

  constructor(replica: Replica, epoch: number, request: RequestLog) {
    this.#replica = replica;
    this.#epoch = epoch;
    this.#request = request;
    this.#after = replica.applied;
  }

  /** False where the log could not be had up to an index. */
  async run(lastIndex: number): Promise<boolean> {
    while (this.#after < lastIndex) {
      const reply = await this.#requestWithRetries();
      if (reply === undefined) return false;
      const hasProgress = reply.isWhole ? await this.#addSnapshotChunk(reply) : await this.#appendEntries(reply);
      if (!hasProgress) return false;
    }
    return true;
  }

  async #requestWithRetries(): Promise<ShardPullReply | undefined> {
    for (let maxAttempts = 0; maxAttempts < LogPull.maxAttempts; maxAttempts += 1) {
      const reply = await this.#request(this.#after, this.#offset);
      if (reply !== undefined) return reply;
    }
    return undefined;
  }

  async #appendEntries({ entries }: ShardPullReply): Promise<boolean> {
    if (entries.length === 0 || entries.some((entry, i) => entry.index !== this.#after + 1 + i)) return false;
    await this.#replica.replaceWithPulled(entries);
    this.#after = entries.at(-1)!.index;
    return true;
  }

  async #addSnapshotChunk({
    baseIndex: index,
    baseTerm: indexTerm,
    snapshot,
    size,
    checksum,
  }: ShardPullReply): Promise<boolean> {
    if (this.#replica.hasSnapshot(index, indexTerm)) return this.#continueFrom(index);
    const chunk = { term: this.#epoch, index, indexTerm, state: snapshot, offset: this.#offset, size, checksum };
    const outcome = this.#assembly.take(create(SnapshotSchema, chunk));
    if (outcome.kind === "whole")
      return (await this.#replica.installPulled(index, indexTerm, outcome.state)) && this.#continueFrom(index);
    this.#offset = outcome.received;
    if (outcome.kind === "refused") this.#rejectedChunks += 1;
    // Refused in the middle: the other has compacted its log, and is asked for its new snapshot.
    return this.#rejectedChunks < LogPull.maxAttempts;
  }

  #continueFrom(index: number): boolean {
    const isFurther = index > this.#after;
    this.#after = Math.max(this.#after, index);
    this.#offset = 0;
    return isFurther;
  }
}
