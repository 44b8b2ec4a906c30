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

export type StoreChange = NonNullable<MessageInitShape<typeof StoreCallSchema>["call"]>;
export type Outcome = { outcome: string } & Partial<
  Pick<StoreReply, "revision" | "kvs" | "retryAfterSeconds" | "reason" | "feeds" | "leader">
>;

interface Asked {
  call: StoreChange;
  resolve: (reply: StoreReply | undefined) => void;
}

/** Calls on the metadata store. Any control node takes any call and passes it on. */
export class StoreClient {
  /** How long one control node gets for a call that may as well be made twice; longer for what another might undo. */
  static readonly readMs = 300;
  static readonly maxBatch = 200;
  static readonly waitMs = 200;
  static readonly tryMs: Readonly<Record<string, number>> = { txn: 700, claimOwners: 700, renew: 800 };

  readonly #rpc: RpcEndpoint;
  readonly #membership: Membership;
  readonly #clock: Clock;
  /** The control node that last said what became of a call; only a hint. */
  #favourite = "";
  /** Calls under way, and since when: a control node that keeps one waiting is not given the next. */
  readonly #open = new Map<number, { name: string; at: number }>();
  #lastCall = 0;
  /** What is to be asked of a control node at the end of this turn: one frame for all calls of a kind. */
  readonly #batches = new Map<string, Asked[]>();
  readonly #values = new LargeValues();

  constructor(rpc: RpcEndpoint, membership: Membership, clock: Clock) {
    this.#rpc = rpc;
    this.#membership = membership;
    this.#clock = clock;
  }

  /** Large values go as differences. Where the store has not the base, nothing was done, and they go whole. */
  async txn(txn: MessageInitShape<typeof TxnSchema>, timeoutMs = 1200): Promise<Outcome> {
    const end = this.#clock.now() + timeoutMs;
    let written = await this.call({ case: "txn", value: this.#values.pack(txn) }, timeoutMs);
    if (written.outcome === "rebase") {
      this.#values.forget();
      written = await this.call({ case: "txn", value: this.#values.pack(txn) }, end - this.#clock.now());
    }
    if (written.outcome === "done") this.#values.written(txn, written.revision ?? 0);
    return written;
  }

  /** Large values that this client has are not sent again, and changed ones come as differences. */
  async read(keys: string[], prefixes: string[] = [], timeoutMs = 1200): Promise<Outcome> {
    const end = this.#clock.now() + timeoutMs;
    const ask = (left: number): Promise<Outcome> =>
      this.call({ case: "read", value: { keys, prefixes, known: this.#values.knownOf(keys) } }, left);
    const read = await ask(timeoutMs);
    if (this.#values.unpack(read.kvs ?? [])) return read;
    this.#values.forget();
    const whole = await ask(end - this.#clock.now());
    return this.#values.unpack(whole.kvs ?? []) ? whole : { outcome: "away", retryAfterSeconds: 0.3 };
  }

  /**
   * Ends by `due` with an outcome: `unsure` where a change may have been carried out, `away` where it was not and never
   * will be. After `away` the next control node is asked; after a silence or `unsure` only if the call may be repeated.
   */
  async call(call: StoreChange, timeoutMs = 1200): Promise<Outcome> {
    const end = this.#clock.now() + timeoutMs;
    const maxMs = StoreClient.tryMs[call.case ?? "read"] ?? StoreClient.readMs;
    let isUnknown = false;
    for (const name of this.#order()) {
      const left = end - this.#clock.now();
      if (left <= 20) break;
      const reply = await this.#timed(name, call, Math.min(left, maxMs));
      if (reply !== undefined && reply.outcome !== "away" && reply.outcome !== "unsure") {
        this.#favourite = name;
        return reply;
      }
      if (reply?.outcome === "away") continue;
      isUnknown = true;
      if (!mayRepeatStoreCall(call.case)) break;
    }
    if (isUnknown) return { outcome: "unsure", retryAfterSeconds: 0.5, reason: "no lathe said what became of it" };
    return { outcome: "away", retryAfterSeconds: 1, reason: "no majority of lathes answers" };
  }

  async #timed(name: string, call: StoreChange, timeoutMs: number): Promise<StoreReply | undefined> {
    const id = ++this.#lastCall;
    this.#open.set(id, { name, at: this.#clock.now() });
    const reply = await this.#ask(name, call, timeoutMs);
    this.#open.delete(id);
    return reply;
  }

  #ask(name: string, call: StoreChange, timeoutMs: number): Promise<StoreReply | undefined> {
    const key = `${name} ${call.case} ${timeoutMs}`;
    const batch = this.#batches.get(key) ?? [];
    if (batch.length === 0)
      this.#clock.once(0, () => {
        if (this.#batches.get(key) === batch) this.#batches.delete(key);
        void this.#send(name, batch, timeoutMs);
      });
    if (batch.length < StoreClient.maxBatch) this.#batches.set(key, batch);
    else this.#batches.delete(key);
    return new Promise((resolve) => batch.push({ call, resolve }));
  }

  async #send(name: string, batch: readonly Asked[], timeoutMs: number): Promise<void> {
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

  #order(): string[] {
    const controlNodes = this.#membership
      .all()
      .filter((member) => member.role === nodeRole.control && member.isInStore && member.state === "up");
    const waiting = [...this.#open.values()].filter(({ at }) => this.#clock.now() - at > StoreClient.waitMs);
    const isBad = (name: string): boolean =>
      !this.#membership.isAlive(name) || this.#rpc.isUnresponsive(name) || waiting.some((one) => one.name === name);
    const ranked = Rendezvous.nearest(this.#rpc.name, this.#membership.self.zone, controlNodes);
    const good = ranked.filter((name) => !isBad(name));
    const first = good.includes(this.#favourite) ? [this.#favourite] : [];
    return [...new Set([...first, ...good, ...ranked])];
  }
}
