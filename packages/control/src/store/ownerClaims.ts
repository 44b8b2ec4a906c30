import { create } from "@bufbuild/protobuf";
import {
  ClaimOwnersSchema,
  KvSchema,
  StoreCallSchema,
  type ClaimOwners,
  type Kv,
  type OwnerClaim,
  type StoreCall,
} from "@cranetrack/core/gen/cranetrack_pb.js";
import { EndedOwnersKey } from "@cranetrack/core/keys/endedOwnersKey.js";
import { OwnerKey } from "@cranetrack/core/keys/ownerKey.js";
import type { Outcome } from "@cranetrack/core/store/storeClient.js";
import type { RaftNode } from "../consensus/raftNode.js";
import { encodeCommand } from "./encodeCommand.js";

/** What a control node that does not lead can say of a call by itself, and what it has to pass on. */
interface AppliedAnswer {
  applied: Outcome;
  /** Undefined where nothing is left. */
  left: StoreCall | undefined;
}

/**
 * Claims of owner keys, many in one log entry, each granted or not by itself. What is granted is decided by the entry
 * alone. A claim that is not granted is told the present owner, whom the claiming node asks to ship the session; that
 * answer may be old where the claim does not want it confirmed, as the next claim names the revision it goes by.
 */
export class OwnerClaims {
  readonly #raft: RaftNode;
  readonly #leaseLeft: (lease: string) => number;

  /** `leaseLeft`: milliseconds that a lease still runs if nobody renews it; 0 where that is not known. */
  constructor(raft: RaftNode, leaseLeft: (lease: string) => number) {
    this.#raft = raft;
    this.#leaseLeft = leaseLeft;
  }

  /** Carries claims out at the leader: `unsure` where some may have been granted. */
  async run({ node, lease, claims }: ClaimOwners): Promise<Outcome> {
    const grantable = claims.filter((claim) => this.#raft.metadata.isGrantable(claim));
    if (grantable.length === 0) {
      const isConfirmed = !claims.some((claim) => claim.isConfirmed) || (await this.#raft.confirm());
      return isConfirmed ? this.#answer(claims, 0) : { outcome: "away", retryAfterSeconds: 1 };
    }
    const command = create(ClaimOwnersSchema, { node, lease, claims: grantable });
    const applied = await this.#raft.propose(encodeCommand({ case: "claimOwners", value: command }));
    if (applied === undefined) return { outcome: "unsure", retryAfterSeconds: 0.5 };
    if (applied.outcome !== "done") return { outcome: applied.outcome, revision: applied.revision };
    return this.#answer(claims, applied.revision);
  }

  /** Splits a call into the claims whose present owner is known here, and all else; out of touch nothing is known. */
  answerApplied(call: StoreCall): AppliedAnswer {
    if (call.call.case !== "claimOwners" || call.isForwarded || !this.#raft.hasLeader)
      return { applied: { outcome: "done" }, left: call };
    const { node, lease, claims } = call.call.value;
    const isOwned = ({ session, revision, isConfirmed }: OwnerClaim): boolean =>
      revision === 0 && !isConfirmed && this.#raft.metadata.get(OwnerKey.of(session)) !== undefined;
    const owned = claims.filter(isOwned);
    const left = claims.filter((claim) => !isOwned(claim));
    const value = create(ClaimOwnersSchema, { node, lease, claims: left });
    return {
      applied: this.#answer(owned, 0),
      left: left.length === 0 ? undefined : create(StoreCallSchema, { call: { case: "claimOwners", value } }),
    };
  }

  /** The leader's outcome with what was answered here; where the leader says nothing, that part is not answered. */
  static merge(outcome: Outcome, applied: Outcome): Outcome {
    return applied.kvs === undefined ? outcome : { ...outcome, kvs: [...applied.kvs, ...(outcome.kvs ?? [])] };
  }

  /** Owner keys as they are now, and the kept subscriptions of the sessions that were granted at this revision. */
  #answer(claims: readonly OwnerClaim[], revision: number): Outcome {
    const { metadata } = this.#raft;
    const kvs = claims.flatMap(({ session }) => this.#keysOf(session, revision));
    const ended = metadata.get(EndedOwnersKey.name);
    return { outcome: "done", revision, kvs: ended === undefined ? kvs : [...kvs, ended] };
  }

  #keysOf(session: string, revision: number): Kv[] {
    const owner = this.#raft.metadata.get(OwnerKey.of(session));
    if (owner === undefined) return [];
    if (owner.revision === revision) return this.#raft.metadata.range(OwnerKey.prefix(session));
    return [create(KvSchema, { ...owner, leaseLeft: this.#leaseLeft(owner.lease) })];
  }
}
