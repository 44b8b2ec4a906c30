import { EdgeSlopes } from "./edgeSlopes.js";
import { NodeSlopes } from "./nodeSlopes.js";
import { StoreSlopes } from "./storeSlopes.js";

/** How one slope is measured: a cost at several sizes. */
export interface SlopeRun {
  what: string;
  unit: string;
  per: string;
  sizes: readonly number[];
  /** The whole cost at a size. */
  run: (size: number) => number | Promise<number>;
}

const many = [25_000, 50_000, 100_000];
const nodes = [800, 1600, 3200];

/**
 * Every slope that the capacity page stands on; each can be measured again by its name. The names rest in slopes.json:
 * they stay as they are, `plan` for the configuration among them.
 */
export const slopeRuns: Readonly<Record<string, SlopeRun>> = {
  connection: {
    what: "resident memory of an edge by open HTTP links, each with a session and one subscription",
    unit: "bytes",
    per: "connection",
    sizes: [500, 1000, 2000, 4000],
    run: EdgeSlopes.connectionBytes,
  },
  delivery: {
    what: "processor time of an edge for one message of 200 bytes to so many links, sockets included",
    unit: "microseconds",
    per: "delivery",
    sizes: [500, 1000, 2000],
    run: EdgeSlopes.deliveryProcessor,
  },
  subscription: {
    what: "heap of an edge by further subscriptions",
    unit: "bytes",
    per: "subscription",
    sizes: [10_000, 20_000, 40_000],
    run: EdgeSlopes.subscriptionBytes,
  },
  stream: {
    what: "heap of an edge by streams followed, without messages",
    unit: "bytes",
    per: "stream",
    sizes: [10_000, 20_000, 40_000],
    run: EdgeSlopes.streamBytes,
  },
  ownerKey: {
    what: "heap of the store's state by owner keys under 64 leases",
    unit: "bytes",
    per: "owner key",
    sizes: many,
    run: StoreSlopes.ownerKeyBytes,
  },
  ownerKeyTime: {
    what: "processor time to encode, decode and apply owner keys, one transaction each, without log and net",
    unit: "microseconds",
    per: "transaction",
    sizes: many,
    run: StoreSlopes.ownerKeyProcessor,
  },
  ownerSnapshot: {
    what: "a store's snapshot by owner keys",
    unit: "bytes",
    per: "owner key",
    sizes: many,
    run: StoreSlopes.ownerSnapshotBytes,
  },
  lease: {
    what: "heap of the store's state by leases",
    unit: "bytes",
    per: "lease",
    sizes: nodes,
    run: StoreSlopes.leaseBytes,
  },
  leaseTime: {
    what: "the proposer's look over all leases, processor time in a second",
    unit: "microseconds",
    per: "lease",
    sizes: nodes,
    run: StoreSlopes.leaseProcessor,
  },
  feed: {
    what: "heap of a lathe by feeds",
    unit: "bytes",
    per: "feed",
    sizes: nodes,
    run: StoreSlopes.feedBytes,
  },
  feedTime: {
    what: "one change pushed to so many feeds and acknowledged, frames encoded, without sockets",
    unit: "microseconds",
    per: "feed",
    sizes: nodes,
    run: StoreSlopes.pushProcessor,
  },
  feedPush: {
    what: "frames of one change to so many feeds",
    unit: "bytes",
    per: "feed",
    sizes: nodes,
    run: StoreSlopes.pushBytes,
  },
  rollout: {
    what: "the answer with all nodes' configuration marks",
    unit: "bytes",
    per: "node",
    sizes: nodes,
    run: StoreSlopes.rolloutBytes,
  },
  shardRoute: {
    what: "heap of a node's view by shards",
    unit: "bytes",
    per: "shard",
    sizes: [4000, 16_000, 64_000],
    run: NodeSlopes.shardRouteBytes,
  },
  shardSnapshot: {
    what: "shards' keys in a feed's first snapshot",
    unit: "bytes",
    per: "shard",
    sizes: [4000, 16_000, 64_000],
    run: NodeSlopes.shardSnapshotBytes,
  },
  shardIdle: {
    what: "all frames of an idle simulated fleet of 12 nodes in a second, by shards",
    unit: "bytes a second",
    per: "shard",
    sizes: [4, 16, 64],
    run: NodeSlopes.shardIdleBytes,
  },
  member: {
    what: "heap of a member table",
    unit: "bytes",
    per: "member",
    sizes: nodes,
    run: NodeSlopes.memberBytes,
  },
  memberTable: {
    what: "a whole member table as it is sent to a new node",
    unit: "bytes",
    per: "member",
    sizes: nodes,
    run: NodeSlopes.memberTableBytes,
  },
  watchers: {
    what: "processor time to name a node's watchers anew",
    unit: "microseconds",
    per: "member",
    sizes: nodes,
    run: NodeSlopes.watchersProcessor,
  },
  gossip: {
    what: "gossip that an idle node sends in a second, 40 s after the start, beside 3 lathes and 3 anvils (simulator)",
    unit: "bytes a second",
    per: "edge",
    sizes: [6, 24, 54, 114],
    run: NodeSlopes.gossipBytes,
  },
  gossipYoung: {
    what: "the same 10 s after all nodes started at once",
    unit: "bytes a second",
    per: "edge",
    sizes: [6, 24, 54, 114, 234],
    run: NodeSlopes.youngGossipBytes,
  },
  feedIdle: {
    what: "feed pushes and acknowledgements of an idle fleet in a second (simulator)",
    unit: "bytes a second",
    per: "edge",
    sizes: [6, 24, 54],
    run: NodeSlopes.feedIdleBytes,
  },
  leaseIdle: {
    what: "lease renewals of an idle fleet in a second, with what lathes pass on (simulator)",
    unit: "bytes a second",
    per: "edge",
    sizes: [6, 24, 54],
    run: NodeSlopes.leaseIdleBytes,
  },
  plan: {
    what: "a plan as the store keeps and pushes it, by spaces",
    unit: "bytes",
    per: "space",
    sizes: [100, 1000, 4000],
    run: NodeSlopes.configurationBytes,
  },
  planHeap: {
    what: "heap of a plan that a node has taken up",
    unit: "bytes",
    per: "space",
    sizes: [100, 1000, 4000],
    run: NodeSlopes.configurationHeapBytes,
  },
  planTime: {
    what: "processor time of a node to read a plan",
    unit: "microseconds",
    per: "space",
    sizes: [100, 1000, 4000],
    run: NodeSlopes.configurationProcessor,
  },
  call: {
    what: "processor time of both ends of small calls over loopback, 50 at once",
    unit: "microseconds",
    per: "call",
    sizes: [4000, 8000, 16_000],
    run: NodeSlopes.callProcessor,
  },
};
