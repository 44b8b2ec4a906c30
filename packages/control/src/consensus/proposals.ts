import { create } from "@bufbuild/protobuf";
import { EntrySchema, type Entry } from "@cranetrack/core/gen/cranetrack_pb.js";
import type { ReplicaLog } from "@cranetrack/core/replication/replicaLog.js";
import type { LogReplicator } from "@cranetrack/core/replication/logReplicator.js";
import type { Clock } from "@cranetrack/core/runtime/clock.js";
import { entryKind } from "./storeLog.js";
import type { ApplyResult } from "../store/metadata.js";

type ResolveProposal = (applied: ApplyResult | undefined) => void;

/**
 * The leader's proposals that are not applied yet, and its reads that wait for confirmation (read index: Ongaro's
 * thesis, section 6.4). Proposals made in one turn of the event loop share one log write and one message to each
 * member; reads of one turn share one round of heartbeats.
 * Invariant: every call is answered; once the term has ended, with undefined or false.
 */
export class Proposals {
  readonly #log: ReplicaLog;
  readonly #clock: Clock;
  #replicator: LogReplicator | undefined;
  #queuedProposals: Array<{ data: Uint8Array; kind: number; resolve: ResolveProposal }> = [];
  #queuedConfirmations: Array<(isConfirmed: boolean) => void> = [];
  readonly #pendingByIndex = new Map<number, { term: number; resolve: ResolveProposal }>();
  #isFlushScheduled = false;

  constructor(log: ReplicaLog, clock: Clock) {
    this.#log = log;
    this.#clock = clock;
  }

  /** This node's term as leader starts. */
  startTerm(replicator: LogReplicator): void {
    this.#replicator = replicator;
  }

  /** This node's term as leader is over: open proposals resolve with undefined (result unknown), reads with false. */
  endTerm(): void {
    this.#replicator = undefined;
    for (const { resolve } of this.#queuedProposals.splice(0)) resolve(undefined);
    for (const resolve of this.#queuedConfirmations.splice(0)) resolve(false);
    for (const { resolve } of this.#pendingByIndex.values()) resolve(undefined);
    this.#pendingByIndex.clear();
  }

  /**
   * Proposes an entry; resolves with its result once it is applied. Resolves with undefined if this node doesn't lead
   * or stops leading meanwhile: the entry may still be committed or not.
   */
  propose(data: Uint8Array, kind: number): Promise<ApplyResult | undefined> {
    if (this.#replicator === undefined) return Promise.resolve(undefined);
    const applied = new Promise<ApplyResult | undefined>((resolve) =>
      this.#queuedProposals.push({ data, kind, resolve }),
    );
    if (kind === entryKind.command) this.#scheduleFlush();
    else this.#flush();
    return applied;
  }

  /** Resolves with true once a majority has answered a message sent after this call, with false if the term ends. */
  confirm(): Promise<boolean> {
    if (this.#replicator === undefined) return Promise.resolve(false);
    this.#scheduleFlush();
    return new Promise((resolve) => this.#queuedConfirmations.push(resolve));
  }

  /** Resolves the proposal of an applied entry, with undefined if an entry of another term took its index. */
  onApplied(entry: Entry, applied: ApplyResult): void {
    const pending = this.#pendingByIndex.get(entry.index);
    this.#pendingByIndex.delete(entry.index);
    pending?.resolve(pending.term === entry.term ? applied : undefined);
  }

  #scheduleFlush(): void {
    if (this.#isFlushScheduled) return;
    this.#isFlushScheduled = true;
    this.#clock.once(0, () => {
      this.#isFlushScheduled = false;
      this.#flush();
    });
  }

  #flush(): void {
    const replicator = this.#replicator;
    if (replicator === undefined) return;
    const queued = this.#queuedProposals.splice(0);
    const confirmations = this.#queuedConfirmations.splice(0);
    const { lastIndex, term } = this.#log;
    const entries = queued.map(({ data, kind, resolve }, i) => {
      this.#pendingByIndex.set(lastIndex + 1 + i, { term, resolve });
      return create(EntrySchema, { index: lastIndex + 1 + i, term, kind, data });
    });
    if (entries.length > 0) void this.#log.append(entries).then(() => this.#replicator?.sendNewEntries());
    if (confirmations.length > 0)
      void replicator.confirmLeadership().then((isConfirmed) => {
        for (const resolve of confirmations) resolve(isConfirmed);
      });
    if (entries.length > 0) replicator.sendNewEntries();
  }
}
