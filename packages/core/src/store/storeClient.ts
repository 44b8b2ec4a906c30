import type { StoreReply } from "../gen/cranetrack_pb.js";
import type { MessageInitShape } from "@bufbuild/protobuf";
import type { StoreCallSchema, TxnSchema } from "../gen/cranetrack_pb.js";
import type { Clock } from "../runtime/clock.js";
import { mayRepeatStoreCall } from "../rpc/callKinds.js";
import type { RpcEndpoint } from "../rpc/rpcEndpoint.js";
import type { Membership } from "../membership/membership.js";
import { Rendezvous } from "../membership/rendezvous.js";
import { LargeValues } from "./largeValues.js";
import { nodeRole } from "../membership/nodeRole.js";

/** A call on the store: a read, a transaction or a lease operation. */
export type StoreCallInit = NonNullable<MessageInitShape<typeof StoreCallSchema>["call"]>;
/** The reply to a call; `call` says what the outcomes `unsure` and `away` mean. */
export type StoreOutcome = { outcome: string } & Partial<
  Pick<StoreReply, "revision" | "kvs" | "retryAfterSeconds" | "reason" | "feeds" | "leader">
>;

/** A call that waits for the batch that it is sent with. */
interface PendingCall {
  call: StoreCallInit;
  resolve: (reply: StoreReply | undefined) => void;
}

/** A client of the metadata store. Any control node accepts any call and forwards it. */
export class StoreClient {
  /**
   * How long one control node gets, in milliseconds, for a call that may be repeated freely; calls whose effect another
   * call might undo get longer (`attemptMsByKind`).
   */
  static readonly defaultAttemptMs = 300;
  static readonly maxBatchCalls = 200;
  /** A control node that keeps a call waiting for longer is not preferred for the next one. */
  static readonly slowCallMs = 200;
  static readonly attemptMsByKind: Readonly<Record<string, number>> = { txn: 700, claimOwners: 700, renew: 800 };

  readonly #rpc: RpcEndpoint;
  readonly #membership: Membership;
  readonly #clock: Clock;
  /** The control node that last returned a definite outcome; only a hint. */
  #lastResponsive = "";
  /** Calls under way, with their start: a control node that is slow to answer one is not given the next. */
  readonly #openCalls = new Map<number, { name: string; at: number }>();
  #lastCallId = 0;
  /** Calls to be sent at the end of this event loop turn, in one frame for each control node and kind. */
  readonly #batches = new Map<string, PendingCall[]>();
  readonly #values = new LargeValues();

  constructor(rpc: RpcEndpoint, membership: Membership, clock: Clock) {
    this.#rpc = rpc;
    this.#membership = membership;
    this.#clock = clock;
  }

  /** Sends large values as deltas. If the store lacks a base, it does nothing, and they are sent again whole. */
  async txn(txn: MessageInitShape<typeof TxnSchema>, timeoutMs = 1200): Promise<StoreOutcome> {
    const deadline = this.#clock.now() + timeoutMs;
    let written = await this.call({ case: "txn", value: this.#values.pack(txn) }, timeoutMs);
    if (written.outcome === "rebase") {
      this.#values.forget();
      written = await this.call({ case: "txn", value: this.#values.pack(txn) }, deadline - this.#clock.now());
    }
    if (written.outcome === "done") this.#values.written(txn, written.revision ?? 0);
    return written;
  }

  /** The store omits large values that this client has, and sends changed ones as deltas. */
  async read(keys: string[], prefixes: string[] = [], timeoutMs = 1200): Promise<StoreOutcome> {
    const deadline = this.#clock.now() + timeoutMs;
    const request = (remainingMs: number): Promise<StoreOutcome> =>
      this.call({ case: "read", value: { keys, prefixes, known: this.#values.knownVersions(keys) } }, remainingMs);
    const read = await request(timeoutMs);
    if (this.#values.unpack(read.kvs ?? [])) return read;
    this.#values.forget();
    const whole = await request(deadline - this.#clock.now());
    return this.#values.unpack(whole.kvs ?? []) ? whole : { outcome: "away", retryAfterSeconds: 0.3 };
  }

  /**
   * Returns an outcome within `timeoutMs`: `unsure` if a change may have been carried out, `away` if it was not and
   * never will be. After `away` the next control node is asked; after a timeout or `unsure` only if the call may be
   * repeated.
   */
  async call(call: StoreCallInit, timeoutMs = 1200): Promise<StoreOutcome> {
    const deadline = this.#clock.now() + timeoutMs;
    const maxAttemptMs = StoreClient.attemptMsByKind[call.case ?? "read"] ?? StoreClient.defaultAttemptMs;
    let isOutcomeUnknown = false;
    for (const name of this.#rankedControlNodes()) {
      const remainingMs = deadline - this.#clock.now();
      if (remainingMs <= 20) break;
      const reply = await this.#trackedCall(name, call, Math.min(remainingMs, maxAttemptMs));
      if (reply !== undefined && reply.outcome !== "away" && reply.outcome !== "unsure") {
        this.#lastResponsive = name;
        return reply;
      }
      if (reply?.outcome === "away") continue;
      isOutcomeUnknown = true;
      if (!mayRepeatStoreCall(call.case)) break;
    }
    if (isOutcomeUnknown)
      return { outcome: "unsure", retryAfterSeconds: 0.5, reason: "no lathe confirmed the outcome" };
    return { outcome: "away", retryAfterSeconds: 1, reason: "no majority of lathes answers" };
  }

  async #trackedCall(name: string, call: StoreCallInit, timeoutMs: number): Promise<StoreReply | undefined> {
    const id = ++this.#lastCallId;
    this.#openCalls.set(id, { name, at: this.#clock.now() });
    const reply = await this.#enqueueCall(name, call, timeoutMs);
    this.#openCalls.delete(id);
    return reply;
  }

  #enqueueCall(name: string, call: StoreCallInit, timeoutMs: number): Promise<StoreReply | undefined> {
    const key = `${name} ${call.case} ${timeoutMs}`;
    const batch = this.#batches.get(key) ?? [];
    if (batch.length === 0)
      this.#clock.once(0, () => {
        if (this.#batches.get(key) === batch) this.#batches.delete(key);
        void this.#sendBatch(name, batch, timeoutMs);
      });
    if (batch.length < StoreClient.maxBatchCalls) this.#batches.set(key, batch);
    else this.#batches.delete(key);
    return new Promise((resolve) => batch.push({ call, resolve }));
  }

  async #sendBatch(name: string, batch: readonly PendingCall[], timeoutMs: number): Promise<void> {
    const calls = batch.map(({ call }) => ({ call }));
    const body = await this.#rpc.call(
      name,
      calls.length === 1 ? { case: "storeCall", value: calls[0]! } : { case: "storeBatch", value: { calls } },
      timeoutMs,
    );
    if (body?.case === "storeReply") return batch[0]!.resolve(body.value);
    const replies = body?.case === "storeBatchReply" ? body.value.replies : [];
    batch.forEach(({ resolve }, i) => resolve(replies[i]));
  }

  #rankedControlNodes(): string[] {
    const controlNodes = this.#membership
      .all()
      .filter((member) => member.role === nodeRole.control && member.isInStore && member.state === "up");
    const slowCalls = [...this.#openCalls.values()].filter(({ at }) => this.#clock.now() - at > StoreClient.slowCallMs);
    const isAvoided = (name: string): boolean =>
      !this.#membership.isAlive(name) || this.#rpc.isUnresponsive(name) || slowCalls.some((call) => call.name === name);
    const ranked = Rendezvous.nearest(this.#rpc.name, this.#membership.self.zone, controlNodes);
    const preferred = ranked.filter((name) => !isAvoided(name));
    const first = preferred.includes(this.#lastResponsive) ? [this.#lastResponsive] : [];
    return [...new Set([...first, ...preferred, ...ranked])];
  }
}
