import type { Kv } from "@cranetrack/core/gen/cranetrack_pb.js";
import { EndedOwnersKey } from "@cranetrack/core/keys/endedOwnersKey.js";
import { OwnerKey } from "@cranetrack/core/keys/ownerKey.js";
import type { StoreOutcome, StoreClient } from "@cranetrack/core/store/storeClient.js";
import { ownerOf, type Owner } from "./readOwner.js";

/** A claim to own a session under a lease, provided that its owner key has `revision`; 0 if it must not exist. */
export interface OwnerClaim {
  readonly session: string;
  readonly lease: string;
  readonly revision: number;
  /** If another node owns the session, the reply must name its present owner; otherwise that may be out of date. */
  readonly isConfirmed: boolean;
}

/**
 * The outcome of a claim. `owned`: the key has another revision; `free`: not granted as the key is gone, no node owns
 * the session; `lost`: the lease has ended; `unsure`: it may have been granted; `away`: it was not granted.
 */
export type ClaimAnswer =
  | { readonly outcome: "granted"; readonly revision: number; readonly ownersEndedAt: number; readonly kvs: Kv[] }
  | { readonly outcome: "owned"; readonly owner: Owner }
  | { readonly outcome: "free" | "lost" | "unsure" | "away" };

interface WaitingClaim extends OwnerClaim {
  readonly resolve: (answer: ClaimAnswer) => void;
}

/**
 * Batches claims of owner keys. Only a few calls to the store are in progress at a time, and the claims that arrive
 * meanwhile share the next call: the more sessions reconnect at once, the less each costs the store.
 */
export class ClaimQueue {
  /** Calls to the store in progress at a time. */
  static readonly maxCalls = 4;
  /** Claims in one call. */
  static readonly maxClaims = 200;

  readonly #store: Pick<StoreClient, "call">;
  readonly #node: string;
  #waiting: WaitingClaim[] = [];
  #callCount = 0;
  #isScheduled = false;

  /** `node`: the name of the node that claims. */
  constructor(store: Pick<StoreClient, "call">, node: string) {
    this.#store = store;
    this.#node = node;
  }

  /** Claims an owner key. Never rejects. */
  claim(claim: OwnerClaim): Promise<ClaimAnswer> {
    return new Promise((resolve) => {
      this.#waiting.push({ ...claim, resolve });
      this.#schedule();
    });
  }

  /** Sends in a microtask, so that claims made in the same turn share a call. */
  #schedule(): void {
    if (this.#isScheduled) return;
    this.#isScheduled = true;
    queueMicrotask(() => {
      this.#isScheduled = false;
      while (this.#callCount < ClaimQueue.maxCalls && this.#waiting.length > 0) void this.#send(this.#takeBatch());
    });
  }

  /** Takes the first waiting claims that have the same lease. */
  #takeBatch(): WaitingClaim[] {
    const { lease } = this.#waiting[0]!;
    const batch = this.#waiting.filter((claim) => claim.lease === lease).slice(0, ClaimQueue.maxClaims);
    const taken = new Set(batch);
    this.#waiting = this.#waiting.filter((claim) => !taken.has(claim));
    return batch;
  }

  async #send(batch: readonly WaitingClaim[]): Promise<void> {
    this.#callCount += 1;
    const claims = batch.map(({ session, revision, isConfirmed }) => ({ session, revision, isConfirmed }));
    const value = { node: this.#node, lease: batch[0]!.lease, claims };
    const outcome = await this.#store.call({ case: "claimOwners", value });
    this.#callCount -= 1;
    const keys = ClaimQueue.#keysBySession(outcome.kvs ?? []);
    const ownersEndedAt = (outcome.kvs ?? []).find(({ key }) => key === EndedOwnersKey.name)?.revision ?? 0;
    for (const claim of batch)
      claim.resolve(ClaimQueue.#answerOf(claim, outcome, keys.get(claim.session) ?? [], ownersEndedAt));
    if (this.#waiting.length > 0) this.#schedule();
  }

  /** The reply's keys, grouped by session. */
  static #keysBySession(kvs: readonly Kv[]): ReadonlyMap<string, Kv[]> {
    const bySession = new Map<string, Kv[]>();
    for (const kv of kvs) {
      const session = OwnerKey.sessionWith(kv.key);
      if (session === undefined) continue;
      const keys = bySession.get(session);
      if (keys === undefined) bySession.set(session, [kv]);
      else keys.push(kv);
    }
    return bySession;
  }

  /** `keys`: the reply's keys of the claim's session. */
  static #answerOf({ session }: OwnerClaim, outcome: StoreOutcome, keys: Kv[], ownersEndedAt: number): ClaimAnswer {
    const kv = keys.find(({ key }) => key === OwnerKey.of(session));
    const isGranted = outcome.outcome === "done" && kv !== undefined && kv.revision === outcome.revision;
    // A key of another owner is valid information even if the outcome of the call as a whole is unknown.
    if (kv !== undefined && !isGranted) return { outcome: "owned", owner: ownerOf(kv) };
    if (outcome.outcome !== "done") return { outcome: ClaimQueue.#failureOf(outcome) };
    if (kv === undefined) return { outcome: "free" };
    return { outcome: "granted", revision: kv.revision, ownersEndedAt, kvs: keys.filter((key) => key !== kv) };
  }

  static #failureOf({ outcome }: StoreOutcome): "lost" | "unsure" | "away" {
    return outcome === "lost" || outcome === "unsure" ? outcome : "away";
  }
}
