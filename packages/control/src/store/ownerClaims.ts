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
import type { StoreOutcome } from "@cranetrack/core/store/storeClient.js";
import type { RaftNode } from "../consensus/raftNode.js";
import { encodeCommand } from "./encodeCommand.js";

/** What a control node that is not the leader can answer of a call, and what it has to forward. */
interface LocalAnswer {
  /** Outcome of the part that was answered here. */
  outcome: StoreOutcome;
  /** The part for the leader; undefined if the whole call was answered here. */
  remainder: StoreCall | undefined;
}

/**
 * Claims of owner keys. One log entry holds many claims; applying the entry alone decides which of them are granted,
 * each independently. The reply to a rejected claim is the present owner, which the claiming node then asks to transfer
 * the session. Unless the claim asks for confirmation this owner may be outdated, which is harmless: the next claim
 * states the revision that it is based on.
 */
export class OwnerClaims {
  readonly #raft: RaftNode;
  readonly #remainingLeaseMs: (lease: string) => number;

  /** `remainingLeaseMs`: milliseconds until a lease expires unless it is renewed; 0 if that is not known here. */
  constructor(raft: RaftNode, remainingLeaseMs: (lease: string) => number) {
    this.#raft = raft;
    this.#remainingLeaseMs = remainingLeaseMs;
  }

  /** Executes claims at the leader. `unsure`: some of them may have been granted. */
  async run({ node, lease, claims }: ClaimOwners): Promise<StoreOutcome> {
    const grantable = claims.filter((claim) => this.#raft.metadata.isGrantable(claim));
    if (grantable.length === 0) {
      const isConfirmed = !claims.some((claim) => claim.isConfirmed) || (await this.#raft.confirm());
      return isConfirmed ? this.#claimsReply(claims, 0) : { outcome: "away", retryAfterSeconds: 1 };
    }
    const command = create(ClaimOwnersSchema, { node, lease, claims: grantable });
    const applied = await this.#raft.propose(encodeCommand({ case: "claimOwners", value: command }));
    if (applied === undefined) return { outcome: "unsure", retryAfterSeconds: 0.5 };
    if (applied.outcome !== "done") return { outcome: applied.outcome, revision: applied.revision };
    return this.#claimsReply(claims, applied.revision);
  }

  /**
   * Answers the unconfirmed first claims whose owner is known here and leaves the rest of the call to the leader. A
   * node that knows no leader answers nothing, as its state may be outdated.
   */
  answerLocally(call: StoreCall): LocalAnswer {
    if (call.call.case !== "claimOwners" || call.isForwarded || !this.#raft.hasLeader)
      return { outcome: { outcome: "done" }, remainder: call };
    const { node, lease, claims } = call.call.value;
    const isOwned = ({ session, revision, isConfirmed }: OwnerClaim): boolean =>
      revision === 0 && !isConfirmed && this.#raft.metadata.get(OwnerKey.of(session)) !== undefined;
    const ownedClaims = claims.filter(isOwned);
    const unansweredClaims = claims.filter((claim) => !isOwned(claim));
    const value = create(ClaimOwnersSchema, { node, lease, claims: unansweredClaims });
    return {
      outcome: this.#claimsReply(ownedClaims, 0),
      remainder:
        unansweredClaims.length === 0 ? undefined : create(StoreCallSchema, { call: { case: "claimOwners", value } }),
    };
  }

  /** The leader's outcome, with the keys that were answered here put before its own. */
  static merge(leaderOutcome: StoreOutcome, localOutcome: StoreOutcome): StoreOutcome {
    return localOutcome.kvs === undefined
      ? leaderOutcome
      : { ...leaderOutcome, kvs: [...localOutcome.kvs, ...(leaderOutcome.kvs ?? [])] };
  }

  /** The present owner keys, and for sessions granted at this revision also their stored subscriptions. */
  #claimsReply(claims: readonly OwnerClaim[], revision: number): StoreOutcome {
    const { metadata } = this.#raft;
    const kvs = claims.flatMap(({ session }) => this.#sessionKeys(session, revision));
    const endedOwners = metadata.get(EndedOwnersKey.name);
    return { outcome: "done", revision, kvs: endedOwners === undefined ? kvs : [...kvs, endedOwners] };
  }

  #sessionKeys(session: string, revision: number): Kv[] {
    const owner = this.#raft.metadata.get(OwnerKey.of(session));
    if (owner === undefined) return [];
    if (owner.revision === revision) return this.#raft.metadata.range(OwnerKey.prefix(session));
    return [create(KvSchema, { ...owner, leaseLeft: this.#remainingLeaseMs(owner.lease) })];
  }
}
