import { create } from "@bufbuild/protobuf";
import {
  KvSchema,
  StoreCallSchema,
  type Check,
  type FeedState,
  type Kv,
  type Read,
  type Txn,
  type StoreCall,
} from "@cranetrack/core/gen/cranetrack_pb.js";
import { MembersKey } from "@cranetrack/core/keys/membersKey.js";
import type { ClusterNode } from "@cranetrack/core/runtime/clusterNode.js";
import { packing, PackedValue } from "@cranetrack/core/store/packedValue.js";
import { StepTimes, type StepTime } from "@cranetrack/core/runtime/stepTimes.js";
import type { StoreOutcome } from "@cranetrack/core/store/storeClient.js";
import type { BodyInit } from "@cranetrack/core/rpc/wire.js";
import { encodeCommand } from "./encodeCommand.js";
import { Feeds } from "./feeds.js";
import { LeaderForwarding } from "./leaderForwarding.js";
import { Leases } from "./leases.js";
import type { RaftNode } from "../consensus/raftNode.js";
import { OwnerClaims } from "./ownerClaims.js";
import { ValueHistory } from "./valueHistory.js";
import { MemberChanges } from "../membership/memberChanges.js";

/**
 * Serves all calls on the metadata store. The leader executes them, with reads confirmed by a majority; other control
 * nodes forward them to the leader.
 * Outcomes: `away`, the call was not and will not be executed; `unsure`, it may have been executed; `lost`, the lease
 * does not exist; `rebase`, the caller has to send the complete value instead of a difference.
 */
export class StoreService {
  readonly #raft: RaftNode;
  readonly #leases: Leases;
  readonly #feeds: Feeds;
  readonly #valueHistory = new ValueHistory();
  readonly #memberChanges: MemberChanges;
  readonly #forwarding: LeaderForwarding;
  readonly #stepTimes: StepTimes<string>;
  readonly #ownerClaims: OwnerClaims;

  constructor(node: ClusterNode, raft: RaftNode) {
    this.#raft = raft;
    this.#stepTimes = new StepTimes(node.parts.clock);
    node.load.add("storeCalls", () => ({ fields: this.#stepTimes.takeInterval(), isNotable: false }));
    this.#forwarding = new LeaderForwarding(node, raft, (calls) => this.#runAll(calls));
    this.#leases = new Leases(
      raft,
      node.parts.clock,
      (lease) => void raft.propose(encodeCommand({ case: "revoke", value: { lease } })),
    );
    this.#ownerClaims = new OwnerClaims(raft, (lease) => this.#leases.remainingMs(lease));
    const emptyRead = create(StoreCallSchema, { call: { case: "read", value: {} } });
    this.#valueHistory.reset(raft.metadata.range(""));
    raft.on("applied", ({ changes }) => this.#valueHistory.record(changes));
    raft.on("snapshotInstalled", () => this.#valueHistory.reset(raft.metadata.range("")));
    this.#feeds = new Feeds(node, raft, this.#valueHistory, async () => {
      const { outcome, revision } = await this.run(emptyRead);
      return outcome === "done" ? revision : undefined;
    });
    node.rpc.serve("storeCall", async (call): Promise<BodyInit> => ({
      case: "storeReply",
      value: await this.run(call),
    }));
    node.rpc.serve("storeBatch", async ({ calls }): Promise<BodyInit> => ({
      case: "storeBatchReply",
      value: { replies: await this.#runAll(calls) },
    }));
    this.#memberChanges = new MemberChanges(node, raft);
  }

  /** How long calls took on this control node while it was the leader, by kind of call. */
  get callTimes(): Record<string, StepTime> {
    return this.#stepTimes.totals();
  }

  /** Executes one call, here or at the leader. */
  async run(call: StoreCall): Promise<StoreOutcome> {
    if (call.call.case === "feeds") return { outcome: "done", feeds: this.#feeds.states() };
    if (!this.#raft.isLeader) return (await this.#answerOrForward([call]))[0]!;
    return this.#stepTimes.measure(call.call.case ?? "unknown", () => this.#runAsLeader(call));
  }

  async #runAsLeader(call: StoreCall): Promise<StoreOutcome> {
    switch (call.call.case) {
      case "txn":
        if (!this.#tryRebase(call.call.value)) return { outcome: "rebase" };
      // falls through
      case "grant":
      case "revoke": {
        const applied = await this.#raft.propose(encodeCommand(call.call));
        return applied === undefined
          ? { outcome: "unsure", retryAfterSeconds: 1 }
          : { outcome: applied.outcome, revision: applied.revision, kvs: this.#packForReceiver(applied.kvs) };
      }
      case "read":
        return this.#read(call.call.value);
      case "renew": {
        const { lease } = call.call.value;
        const isRenewed = this.#leases.renew(lease);
        if (!(await this.#raft.confirm())) return { outcome: "away", retryAfterSeconds: 1 };
        return { outcome: isRenewed ? "done" : "lost" };
      }
      case "claimOwners":
        return this.#ownerClaims.run(call.call.value);
      case "join":
        if (!(await this.#raft.confirm())) return { outcome: "away", retryAfterSeconds: 1 };
        return this.#memberChanges.join(call.call.value);
      default:
        return { outcome: "refused", reason: "unknown call" };
    }
  }

  /** Executes the calls of one batch; on another node than the leader they are forwarded in one frame. */
  #runAll(calls: StoreCall[]): Promise<StoreOutcome[]> {
    return this.#raft.isLeader ? Promise.all(calls.map((call) => this.run(call))) : this.#answerOrForward(calls);
  }

  /**
   * Forwards calls to the leader, except for first claims of sessions that already have an owner: these are answered
   * from the state applied here.
   */
  async #answerOrForward(calls: StoreCall[]): Promise<StoreOutcome[]> {
    const localAnswers = calls.map((call) => this.#ownerClaims.answerLocally(call));
    const remainders = localAnswers.flatMap(({ remainder }) => remainder ?? []);
    const outcomes = remainders.length === 0 ? [] : await this.#forwarding.forward(remainders);
    return localAnswers.map((answer) =>
      answer.remainder === undefined ? answer.outcome : OwnerClaims.merge(outcomes.shift()!, answer.outcome),
    );
  }

  /** Closes all feeds here with this reason; their nodes open feeds at other control nodes at once. */
  closeFeeds(reason: string): void {
    this.#feeds.closeAll(reason);
  }

  /** The state of each feed at this control node. */
  get feeds(): FeedState[] {
    return this.#feeds.states();
  }

  /**
   * Converts differences from earlier versions into differences from the present version, the only one that a log
   * entry can apply to. False if an earlier version is no longer in the history here.
   */
  #tryRebase({ puts }: Txn): boolean {
    for (const put of puts) {
      const present = this.#raft.metadata.get(put.key);
      if (put.packing !== packing.difference || put.baseRevision === present?.revision) continue;
      const value = this.#valueHistory.unpack(put);
      if (value === undefined) return false;
      Object.assign(put, PackedValue.pack(value, present));
    }
    return true;
  }

  /** Packs large values for a receiver that has the `known` versions of keys; none by default. */
  #packForReceiver(kvs: readonly Kv[], known: readonly Check[] = []): Kv[] {
    const revisionOf = (key: string): number => known.find((check) => check.key === key)?.revision ?? 0;
    return kvs.map((kv) => this.#valueHistory.packForValueRevision(kv, revisionOf(kv.key)));
  }

  async #read({ keys, prefixes, known }: Read): Promise<StoreOutcome> {
    if (!(await this.#raft.confirm())) return { outcome: "away", retryAfterSeconds: 1 };
    const { metadata } = this.#raft;
    const voterKeys = keys.includes(MembersKey.name) ? this.#votersAsKeys() : [];
    const keyValues = keys
      .map((key) => metadata.get(key))
      .filter((kv) => kv !== undefined)
      .map((kv) => (kv.lease === "" ? kv : create(KvSchema, { ...kv, leaseLeft: this.#leases.remainingMs(kv.lease) })));
    return {
      outcome: "done",
      kvs: this.#packForReceiver(
        [...voterKeys, ...keyValues, ...prefixes.flatMap((prefix) => metadata.range(prefix))],
        known,
      ),
      revision: metadata.revision,
    };
  }

  /** The voters as a read-only key; they are not stored as a key. */
  #votersAsKeys(): Kv[] {
    const votingMembers = this.#raft.membershipChange.electorate(this.#raft.commitIndex);
    const voters = [...new Set(votingMembers.map((member) => member.name))];
    return [create(KvSchema, { key: MembersKey.name, value: MembersKey.write({ voters }) })];
  }
}
