import { create, toBinary } from "@bufbuild/protobuf";
import {
  KvSchema,
  StoreCallSchema,
  StoreCommandSchema,
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
import type { Outcome } from "@cranetrack/core/store/storeClient.js";
import { mayRepeatStoreCall } from "@cranetrack/core/rpc/callKinds.js";
import type { BodyInit } from "@cranetrack/core/rpc/wire.js";
import { Feeds } from "./feeds.js";
import { Leases } from "./leases.js";
import type { RaftNode } from "../consensus/raftNode.js";
import { ValueHistory } from "./valueHistory.js";
import { MemberChanges } from "../membership/memberChanges.js";

/** Takes every call on the store; what only the leader can answer is passed on to it, once. */
export class StoreService {
  readonly #node: ClusterNode;
  readonly #raft: RaftNode;
  readonly #leases: Leases;
  readonly #feeds: Feeds;
  readonly #values = new ValueHistory();
  readonly #memberChanges: MemberChanges;

  constructor(node: ClusterNode, raft: RaftNode) {
    this.#node = node;
    this.#raft = raft;
    this.#leases = new Leases(
      raft,
      node.parts.clock,
      (lease) =>
        void raft.propose(
          toBinary(StoreCommandSchema, create(StoreCommandSchema, { command: { case: "revoke", value: { lease } } })),
        ),
    );
    const look = create(StoreCallSchema, { call: { case: "read", value: {} } });
    this.#values.reset(raft.metadata.range(""));
    raft.on("applied", ({ changes }) => this.#values.keep(changes));
    raft.on("snapshotInstalled", () => this.#values.reset(raft.metadata.range("")));
    this.#feeds = new Feeds(node, raft, this.#values, async () => {
      const { outcome, revision } = await this.run(look);
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

  async run(call: StoreCall): Promise<Outcome> {
    if (call.call.case === "feeds") return { outcome: "done", feeds: this.#feeds.states() };
    if (!this.#raft.isLeader) return (await this.#pass([call]))[0]!;
    switch (call.call.case) {
      case "txn":
        if (!this.#rebase(call.call.value)) return { outcome: "rebase" };
      // falls through
      case "grant":
      case "revoke": {
        const applied = await this.#raft.propose(
          toBinary(StoreCommandSchema, create(StoreCommandSchema, { command: call.call })),
        );
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
      case "join":
        if (!(await this.#raft.confirm())) return { outcome: "away", retryAfterSeconds: 1 };
        return this.#memberChanges.join(call.call.value);
      default:
        return { outcome: "refused", reason: "unknown call" };
    }
  }

  /** Calls of one kind, made in one turn somewhere: passed on in one frame. */
  #runAll(calls: StoreCall[]): Promise<Outcome[]> {
    return this.#raft.isLeader ? Promise.all(calls.map((call) => this.run(call))) : this.#pass(calls);
  }

  /** Their nodes go on at other control nodes at once. */
  closeFeeds(reason: string): void {
    this.#feeds.closeAll(reason);
  }

  get feeds(): FeedState[] {
    return this.#feeds.states();
  }

  /**
   * Makes differences from earlier versions such from the present one, to which alone the log's entries apply.
   * False where an earlier version is not known here any more.
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

  /** For a receiver that has these versions, and maybe none. */
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

  #members(): Kv[] {
    const voting = this.#raft.membershipChange.voting(this.#raft.commit);
    const voters = [...new Set(voting.map((one) => one.name))];
    return [create(KvSchema, { key: MembersKey.name, value: MembersKey.write({ voters }) })];
  }

  async #pass(calls: StoreCall[]): Promise<Outcome[]> {
    const all = (outcome: Outcome): Outcome[] => calls.map(() => outcome);
    const leader = this.#raft.leaderName;
    if (calls.some((call) => call.isForwarded) || leader === "" || leader === this.#node.rpc.name)
      return all({ outcome: "away", retryAfterSeconds: 1, reason: "no proposer is known" });
    const kinds = new Set(calls.map((call) => call.call.case));
    const isRepeatable = calls.every((call) => mayRepeatStoreCall(call.call.case));
    const passed = this.#node.rpc.call(
      leader,
      { case: "storeBatch", value: { calls: calls.map(({ call }) => ({ call, isForwarded: true })) } },
      kinds.has("renew") ? 800 : 450,
    );
    // What may be repeated may as well be asked of the next leader, once there is one.
    const body = await (isRepeatable ? this.#unlessLed(passed) : passed);
    if (body === "led") return this.#runAll(calls);
    if (body?.case === "storeBatchReply" && body.value.replies.length === calls.length) return body.value.replies;
    return all({ outcome: "unsure", retryAfterSeconds: 0.5 });
  }

  /** What was passed on, or word that another proposes now: maybe this control node itself. */
  #unlessLed<T>(passed: Promise<T>): Promise<T | "led"> {
    return new Promise((resolve) => {
      const end = (settled: T | "led"): void => {
        this.#raft.off("led", led);
        this.#raft.off("elected", led);
        resolve(settled);
      };
      const led = (): void => end("led");
      this.#raft.on("led", led);
      this.#raft.on("elected", led);
      void passed.then(end);
    });
  }
}
