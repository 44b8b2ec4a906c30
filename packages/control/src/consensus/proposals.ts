import { create } from "@bufbuild/protobuf";
import { EntrySchema, type Entry } from "@cranetrack/core/gen/cranetrack_pb.js";
import type { ReplicaLog } from "@cranetrack/core/replication/replicaLog.js";
import type { LogReplicator } from "@cranetrack/core/replication/logReplicator.js";
import type { Clock } from "@cranetrack/core/runtime/clock.js";
import { entryKind } from "./storeLog.js";
import type { Applied } from "../store/metadata.js";

type Resolve = (applied: Applied | undefined) => void;

/**
 * What this control node proposes while it is the leader, until the log says what became of it, and its confirmed reads
 * (read index: thesis, section 6.4). What is asked in one turn of the event loop goes into the log with one sync, and
 * to the others in one message and one round.
 * Invariant: whatever was asked is answered; with `undefined` or false once the term is over.
 */
export class Proposals {
  readonly #log: ReplicaLog;
  readonly #clock: Clock;
  #replicator: LogReplicator | undefined;
  #queued: Array<{ data: Uint8Array; kind: number; resolve: Resolve }> = [];
  #confirming: Array<(isConfirmed: boolean) => void> = [];
  readonly #pending = new Map<number, { term: number; resolve: Resolve }>();
  #isFlushScheduled = false;

  constructor(log: ReplicaLog, clock: Clock) {
    this.#log = log;
    this.#clock = clock;
  }

  /** A term as leader begins. */
  begin(replicator: LogReplicator): void {
    this.#replicator = replicator;
  }

  /** The term is over: nothing that is still open gets another answer than "unknown". */
  end(): void {
    this.#replicator = undefined;
    for (const { resolve } of this.#queued.splice(0)) resolve(undefined);
    for (const resolve of this.#confirming.splice(0)) resolve(false);
    for (const { resolve } of this.#pending.values()) resolve(undefined);
    this.#pending.clear();
  }

  /** Undefined: not the leader any more; the command may or may not be carried out. */
  propose(data: Uint8Array, kind: number): Promise<Applied | undefined> {
    if (this.#replicator === undefined) return Promise.resolve(undefined);
    const applied = new Promise<Applied | undefined>((resolve) => this.#queued.push({ data, kind, resolve }));
    if (kind === entryKind.command) this.#scheduleFlush();
    else this.#flush();
    return applied;
  }

  /** True once a majority has answered something sent after the call. */
  confirm(): Promise<boolean> {
    if (this.#replicator === undefined) return Promise.resolve(false);
    this.#scheduleFlush();
    return new Promise((resolve) => this.#confirming.push(resolve));
  }

  /** An entry was applied: whoever proposed it learns what came of it, or that another took its index. */
  onApplied(entry: Entry, applied: Applied): void {
    const pending = this.#pending.get(entry.index);
    this.#pending.delete(entry.index);
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
    const queued = this.#queued.splice(0);
    const confirming = this.#confirming.splice(0);
    const { lastIndex, term } = this.#log;
    const entries = queued.map(({ data, kind, resolve }, i) => {
      this.#pending.set(lastIndex + 1 + i, { term, resolve });
      return create(EntrySchema, { index: lastIndex + 1 + i, term, kind, data });
    });
    if (entries.length > 0) void this.#log.append(entries).then(() => this.#replicator?.sendNew());
    if (confirming.length > 0)
      void replicator.confirm().then((isConfirmed) => {
        for (const resolve of confirming) resolve(isConfirmed);
      });
    if (entries.length > 0) replicator.sendNew();
  }
}
