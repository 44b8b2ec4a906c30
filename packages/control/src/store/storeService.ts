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
import type { Outcome } from "@cranetrack/core/store/storeClient.js";
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
 * Answers every call on the metadata store. The leader answers it itself, with reads confirmed by a majority; another
 * control node forwards it.
 * Outcomes: `away`, not done and never will be; `unsure`, may have been done; `lost`, the lease is gone; `rebase`, the
 * value is wanted whole.
 */
export class StoreService {
  readonly #raft: RaftNode;
  readonly #leases: Leases;
  readonly #feeds: Feeds;
  readonly #values = new ValueHistory();
  readonly #memberChanges: MemberChanges;
  readonly #forwarding: LeaderForwarding;
  readonly #times: StepTimes<string>;
  readonly #ownerClaims: OwnerClaims;

  constructor(node: ClusterNode, raft: RaftNode) {
    this.#raft = raft;
    this.#times = new StepTimes(node.parts.clock);
    node.load.add("storeCalls", () => ({ fields: this.#times.takeInterval(), isNotable: false }));
    this.#forwarding = new LeaderForwarding(node, raft, (calls) => this.#runAll(calls));
    this.#leases = new Leases(
      raft,
      node.parts.clock,
      (lease) => void raft.propose(encodeCommand({ case: "revoke", value: { lease } })),
    );
    this.#ownerClaims = new OwnerClaims(raft, (lease) => this.#leases.remainingMs(lease));
    const emptyRead = create(StoreCallSchema, { call: { case: "read", value: {} } });
    this.#values.reset(raft.metadata.range(""));
    raft.on("applied", ({ changes }) => this.#values.keep(changes));
    raft.on("snapshotInstalled", () => this.#values.reset(raft.metadata.range("")));
    this.#feeds = new Feeds(node, raft, this.#values, async () => {
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

  /** By kind of call, how long the leader took; of this control node, as far as it led. */
  get callTimes(): Record<string, StepTime> {
    return this.#times.totals();
  }

  /** Carries out one call, here or at the leader. */
  async run(call: StoreCall): Promise<Outcome> {
    if (call.call.case === "feeds") return { outcome: "done", feeds: this.#feeds.states() };
    if (!this.#raft.isLeader) return (await this.#runElsewhere([call]))[0]!;
    return this.#times.measure(call.call.case ?? "unknown", () => this.#runAsLeader(call));
  }

  async #runAsLeader(call: StoreCall): Promise<Outcome> {
    switch (call.call.case) {
      case "txn":
        if (!this.#rebase(call.call.value)) return { outcome: "rebase" };
      // falls through
      case "grant":
      case "revoke": {
        const applied = await this.#raft.propose(encodeCommand(call.call));
        return applied === undefined
          ? { outcome: "unsure", retryAfterSeconds: 1 }
          : { outcome: applied.outcome, revision: applied.revision, kvs: this.#packed(applied.kvs) };
      }
      case "read":
        return this.#read(call.call.value);
      case "renew": {
        const { lease } = call.call.value;
        const isThere = this.#leases.renew(lease);
        if (!(await this.#raft.confirm())) return { outcome: "away", retryAfterSeconds: 1 };
        return { outcome: isThere ? "done" : "lost" };
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

  /** Calls that a node made in one turn: forwarded in one frame. */
  #runAll(calls: StoreCall[]): Promise<Outcome[]> {
    return this.#raft.isLeader ? Promise.all(calls.map((call) => this.run(call))) : this.#runElsewhere(calls);
  }

  /** At the leader; but first claims of sessions that have an owner are answered from what is applied here. */
  async #runElsewhere(calls: StoreCall[]): Promise<Outcome[]> {
    const split = calls.map((call) => this.#ownerClaims.answerApplied(call));
    const left = split.flatMap(({ left }) => left ?? []);
    const outcomes = left.length === 0 ? [] : await this.#forwarding.forward(left);
    return split.map((one) =>
      one.left === undefined ? one.applied : OwnerClaims.merge(outcomes.shift()!, one.applied),
    );
  }

  /** Tells the nodes that follow the store here to go on at other control nodes at once. */
  closeFeeds(reason: string): void {
    this.#feeds.closeAll(reason);
  }

  /** What each node with a feed at this control node has acknowledged. */
  get feeds(): FeedState[] {
    return this.#feeds.states();
  }

  /**
   * Turns differences from earlier versions into differences from the present one: only to that do the log's entries
   * apply. False where an earlier version is no longer known here.
   */
  #rebase({ puts }: Txn): boolean {
    for (const put of puts) {
      const present = this.#raft.metadata.get(put.key);
      if (put.packing !== packing.difference || put.baseRevision === present?.revision) continue;
      const value = this.#values.unpack(put);
      if (value === undefined) return false;
      Object.assign(put, PackedValue.pack(value, present));
    }
    return true;
  }

  /** Large values packed for a receiver that has these versions, and maybe none. */
  #packed(kvs: readonly Kv[], known: readonly Check[] = []): Kv[] {
    const revisionOf = (key: string): number => known.find((check) => check.key === key)?.revision ?? 0;
    return kvs.map((kv) => this.#values.packFrom(kv, revisionOf(kv.key)));
  }

  async #read({ keys, prefixes, known }: Read): Promise<Outcome> {
    if (!(await this.#raft.confirm())) return { outcome: "away", retryAfterSeconds: 1 };
    const { metadata } = this.#raft;
    const members = keys.includes(MembersKey.name) ? this.#members() : [];
    const single = keys
      .map((key) => metadata.get(key))
      .filter((kv) => kv !== undefined)
      .map((kv) => (kv.lease === "" ? kv : create(KvSchema, { ...kv, leaseLeft: this.#leases.remainingMs(kv.lease) })));
    return {
      outcome: "done",
      kvs: this.#packed([...members, ...single, ...prefixes.flatMap((prefix) => metadata.range(prefix))], known),
      revision: metadata.revision,
    };
  }

  /** The voters as a key of the store, which they are not: for reading only. */
  #members(): Kv[] {
    const voting = this.#raft.membershipChange.electorate(this.#raft.commit);
    const voters = [...new Set(voting.map((member) => member.name))];
    return [create(KvSchema, { key: MembersKey.name, value: MembersKey.write({ voters }) })];
  }
}
