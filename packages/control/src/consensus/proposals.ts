import { create } from "@bufbuild/protobuf";
import { EntrySchema, type Entry } from "@cranetrack/core/gen/cranetrack_pb.js";
import type { ReplicaLog } from "@cranetrack/core/replication/replicaLog.js";
import type { LogReplicator } from "@cranetrack/core/replication/logReplicator.js";
import type { Clock } from "@cranetrack/core/runtime/clock.js";
import { entryKind } from "./entryKind.js";
import type { Applied } from "../store/metadata.js";

type Settle = (applied: Applied | undefined) => void;

/**
 * What this control node proposes while it is the leader, until the log says what became of it. What is asked in one
 * turn of the event loop goes into the log with one sync, and to the others in one message and one round.
 * Invariant: whatever was asked settles; with `undefined` or false once the term is over.
 */
export class Proposals {
  readonly #log: ReplicaLog;
  readonly #clock: Clock;
  #replicator: LogReplicator | undefined;
  #asked: Array<{ data: Uint8Array; kind: number; settle: Settle }> = [];
  #confirming: Array<(isConfirmed: boolean) => void> = [];
  readonly #pending = new Map<number, { term: number; settle: Settle }>();
  #isTurnDue = false;

  constructor(log: ReplicaLog, clock: Clock) {
    this.#log = log;
    this.#clock = clock;
  }

  begin(replicator: LogReplicator): void {
    this.#replicator = replicator;
  }

  end(): void {
    this.#replicator = undefined;
    for (const { settle } of this.#asked.splice(0)) settle(undefined);
    for (const settle of this.#confirming.splice(0)) settle(false);
    for (const { settle } of this.#pending.values()) settle(undefined);
    this.#pending.clear();
  }

  /** Undefined: not the leader any more; the command may or may not be carried out. */
  propose(data: Uint8Array, kind: number): Promise<Applied | undefined> {
    if (this.#replicator === undefined) return Promise.resolve(undefined);
    const settled = new Promise<Applied | undefined>((resolve) => this.#asked.push({ data, kind, settle: resolve }));
    if (kind === entryKind.command) this.#await();
    else this.#turn();
    return settled;
  }

  /** True once a majority has answered something sent after the call. */
  confirm(): Promise<boolean> {
    if (this.#replicator === undefined) return Promise.resolve(false);
    this.#await();
    return new Promise((resolve) => this.#confirming.push(resolve));
  }

  applied(entry: Entry, applied: Applied): void {
    const pending = this.#pending.get(entry.index);
    this.#pending.delete(entry.index);
    pending?.settle(pending.term === entry.term ? applied : undefined);
  }

  #await(): void {
    if (this.#isTurnDue) return;
    this.#isTurnDue = true;
    this.#clock.once(0, () => {
      this.#isTurnDue = false;
      this.#turn();
    });
  }

  #turn(): void {
    const replicator = this.#replicator;
    if (replicator === undefined) return;
    const asked = this.#asked.splice(0);
    const confirming = this.#confirming.splice(0);
    const { lastIndex, term } = this.#log;
    const entries = asked.map(({ data, kind, settle }, i) => {
      this.#pending.set(lastIndex + 1 + i, { term, settle });
      return create(EntrySchema, { index: lastIndex + 1 + i, term, kind, data });
    });
    if (entries.length > 0) void this.#log.append(entries).then(() => this.#replicator?.sendNew());
    if (confirming.length > 0)
      void replicator.confirm().then((isConfirmed) => {
        for (const settle of confirming) settle(isConfirmed);
      });
    if (entries.length > 0) replicator.sendNew();
  }
}
