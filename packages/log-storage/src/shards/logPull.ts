import { create } from "@bufbuild/protobuf";
import { SnapshotSchema, type ShardPullReply } from "@cranetrack/core/gen/cranetrack_pb.js";
import { SnapshotAssembly } from "@cranetrack/core/replication/snapshotAssembly.js";
import type { Replica } from "../replication/replica.js";

/**
 * Requests what follows an index, or the snapshot from a byte on, from the replica with the most complete log.
 * Undefined if no reply came.
 */
export type RequestLog = (after: number, offset: number) => Promise<ShardPullReply | undefined>;

/**
 * Completes a new leader's log from the most complete replica that promised: by entries, after a snapshot in pieces if
 * the entries do not reach back far enough. Nothing is replaced before all pieces have arrived and can be read.
 */
export class LogPull {
  /** Attempts at a request that is not answered; repeating it is safe, because it changes nothing at the replica. */
  static readonly maxAttempts = 3;

  readonly #replica: Replica;
  readonly #epoch: number;
  readonly #request: RequestLog;
  readonly #assembly = new SnapshotAssembly();
  #after: number;
  #offset = 0;
  #rejectedPieces = 0;

  constructor(replica: Replica, epoch: number, request: RequestLog) {
    this.#replica = replica;
    this.#epoch = epoch;
    this.#request = request;
    this.#after = replica.applied;
  }

  /** Pulls the log up to `lastIndex`; false if that failed. */
  async run(lastIndex: number): Promise<boolean> {
    while (this.#after < lastIndex) {
      const reply = await this.#requestWithRetries();
      if (reply === undefined) return false;
      const hasProgress = reply.isWhole ? await this.#addSnapshotPiece(reply) : await this.#appendEntries(reply);
      if (!hasProgress) return false;
    }
    return true;
  }

  async #requestWithRetries(): Promise<ShardPullReply | undefined> {
    for (let attempt = 0; attempt < LogPull.maxAttempts; attempt += 1) {
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

  async #addSnapshotPiece({
    baseIndex: index,
    baseTerm: indexTerm,
    snapshot,
    size,
    checksum,
  }: ShardPullReply): Promise<boolean> {
    if (this.#replica.hasSnapshot(index, indexTerm)) return this.#continueFrom(index);
    const piece = { term: this.#epoch, index, indexTerm, state: snapshot, offset: this.#offset, size, checksum };
    const outcome = this.#assembly.addPiece(create(SnapshotSchema, piece));
    if (outcome.kind === "whole")
      return (await this.#replica.installPulled(index, indexTerm, outcome.state)) && this.#continueFrom(index);
    this.#offset = outcome.received;
    if (outcome.kind === "refused") this.#rejectedPieces += 1;
    // A refusal in the middle means that the replica has compacted its log; its new snapshot is requested.
    return this.#rejectedPieces < LogPull.maxAttempts;
  }

  #continueFrom(index: number): boolean {
    const hasAdvanced = index > this.#after;
    this.#after = Math.max(this.#after, index);
    this.#offset = 0;
    return hasAdvanced;
  }
}
