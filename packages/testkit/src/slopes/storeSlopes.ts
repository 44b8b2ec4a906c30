import { EventEmitter } from "node:events";
import { create, toBinary } from "@bufbuild/protobuf";
import {
  FeedStateSchema,
  StoreCommandSchema,
  type FeedAck,
  type FeedOpen,
  type FeedStateSchema as FeedStateType,
} from "@cranetrack/core/gen/cranetrack_pb.js";
import type { ClusterNode } from "@cranetrack/core/runtime/clusterNode.js";
import type { Clock } from "@cranetrack/core/runtime/clock.js";
import { HostClock } from "@cranetrack/core/runtime/hostClock.js";
import { Wire, type BodyInit } from "@cranetrack/core/rpc/wire.js";
import { Feeds } from "@cranetrack/control/store/feeds.js";
import { ValueHistory } from "@cranetrack/control/store/valueHistory.js";
import { Leases } from "@cranetrack/control/store/leases.js";
import type { RaftNode } from "@cranetrack/control/consensus/raftNode.js";
import { Metadata } from "@cranetrack/control/store/metadata.js";
import { OwnerKey } from "@cranetrack/core/keys/ownerKey.js";
import { Meter } from "./meter.js";

type Command = Parameters<typeof create<typeof StoreCommandSchema>>[1];
const commandOf = (command: Command): Uint8Array => toBinary(StoreCommandSchema, create(StoreCommandSchema, command));
const leaseOf = (node: number): string => `vise-${node}/0123456789abcdef`;

function withLeases(count: number): Metadata {
  const metadata = new Metadata();
  for (let i = 0; i < count; i += 1)
    metadata.apply(i + 1, commandOf({ command: { case: "grant", value: { lease: leaseOf(i), length: 1500 } } }));
  return metadata;
}
function ownerPut(session: number): Uint8Array {
  const lease = leaseOf(session % 64);
  const key = OwnerKey.of(`caller-${session}`);
  const value = OwnerKey.write({ node: lease.split("/")[0]!, lease });
  const puts = [{ key, value, lease }];
  return commandOf({ command: { case: "txn", value: { checks: [{ key, revision: 0 }], puts } } });
}
function withOwners(count: number): Metadata {
  const metadata = withLeases(64);
  for (let i = 0; i < count; i += 1) metadata.apply(100 + i, ownerPut(i));
  return metadata;
}

/** A node without a network under a control node's feeds: what is sent is encoded as a frame and counted. */
class CountingNode {
  readonly pushed = { frames: 0, bytes: 0 };
  readonly handlers = new Map<string, (body: unknown) => unknown>();
  readonly #timers: Array<() => void> = [];

  // The names are held to those of the real node: casts alone hid that two of them had been renamed.
  readonly rpc = {
    serve: (kind: string, answer: (body: unknown) => unknown) => void this.handlers.set(kind, answer),
    send: (to: string, body: BodyInit) => {
      this.pushed.frames += 1;
      this.pushed.bytes += Wire.encode({ id: 1, from: "lathe-1", to, fromAddress: "10.0.0.1:7000", body }).length;
    },
  } satisfies Partial<Record<keyof ClusterNode["rpc"], unknown>>;

  readonly parts = {
    clock: {
      now: () => performance.now(),
      every: () => ({ stop: () => undefined }),
      once: (_ms: number, callback: () => void) => void this.#timers.push(callback),
    } satisfies Partial<Record<keyof Clock, unknown>>,
  };

  runTimers(): void {
    this.#timers.splice(0).forEach((callback) => callback());
  }
}

/** A control node's feeds, so many of them open; one change at a time goes out to all and is acknowledged by all. */
class MeasuredFeeds {
  readonly feeds: Feeds;
  readonly #node = new CountingNode();
  readonly #metadata = withLeases(1);
  readonly #raft = Object.assign(new EventEmitter(), { metadata: this.#metadata, isInTouch: true });
  readonly #count: number;
  #changes = 0;

  constructor(count: number) {
    this.#count = count;
    const node = this.#node as object as ClusterNode;
    this.feeds = new Feeds(node, this.#raft as object as RaftNode, new ValueHistory(), () => Promise.resolve(1));
    for (let i = 0; i < count; i += 1) {
      const prefixes = ["plan", "shards/"];
      const open = { feed: `vise-${i}/01234567`, name: `vise-${i}`, prefixes, revision: 1 } satisfies Partial<FeedOpen>;
      void this.#node.handlers.get("feedOpen")!(open);
    }
  }

  get pushedBytes(): number {
    return this.#node.pushed.bytes;
  }

  acknowledge(number: number): void {
    const { revision } = this.#metadata;
    for (let i = 0; i < this.#count; i += 1) {
      const feed = `vise-${i}/01234567`;
      const ack = { feed, number, revision, configurationVersion: 1, fault: "" } satisfies Partial<FeedAck>;
      this.#node.handlers.get("feedAck")!(ack);
    }
  }

  change(): void {
    this.#changes += 1;
    const key = `shards/${this.#changes % 64}/holder`;
    const value = OwnerKey.write({ node: "anvil-1", lease: leaseOf(0) });
    const command = commandOf({ command: { case: "txn", value: { puts: [{ key, value }] } } });
    this.#raft.emit("applied", this.#metadata.apply(this.#metadata.revision + 1, command));
    this.#node.runTimers();
    this.acknowledge(this.#changes + 1);
  }
}

/** What the metadata store, its leases and its feeds cost by their number. Run by `cranetrack-lab slope`. */
export const StoreSlopes = {
  ownerKeyBytes: (count: number): number => Meter.heldBy(() => withOwners(count)),
  ownerKeyProcessor: (count: number): Promise<number> => Meter.processor(() => withOwners(count)),
  ownerSnapshotBytes: (count: number): number => withOwners(count).snapshot(undefined).length,
  leaseBytes: (count: number): number => Meter.heldBy(() => withLeases(count)),

  /** The leader's look over all leases, a second of it. */
  leaseProcessor(count: number): Promise<number> {
    const metadata = withLeases(count);
    const raft = Object.assign(new EventEmitter(), { metadata, isLeader: true });
    let look = (): void => undefined;
    const clock = Object.assign(new HostClock(), {
      every: (_ms: number, callback: () => void) => ((look = callback), { stop: () => undefined }),
    });
    new Leases(raft as object as RaftNode, clock, () => undefined);
    raft.emit("elected");
    const looks = 1000 / Leases.tickIntervalMs;
    const rounds = 10;
    return Meter.processor(() => {
      for (let i = 0; i < looks * rounds; i += 1) look();
    }).then((used) => used / rounds);
  },

  async feedBytes(count: number): Promise<number> {
    let kept: unknown;
    const held = Meter.heldBy(() => (kept = new MeasuredFeeds(count).feeds));
    await Promise.resolve(kept);
    return held;
  },

  /** One change, told to so many feeds and acknowledged by them. */
  async pushProcessor(count: number): Promise<number> {
    const feeds = new MeasuredFeeds(count);
    await new Promise((resolve) => setImmediate(resolve));
    feeds.acknowledge(1);
    for (let i = 0; i < 5; i += 1) feeds.change();
    const rounds = 20;
    const used = await Meter.processor(() => {
      for (let i = 0; i < rounds; i += 1) feeds.change();
    });
    return used / rounds;
  },

  async pushBytes(count: number): Promise<number> {
    const feeds = new MeasuredFeeds(count);
    await new Promise((resolve) => setImmediate(resolve));
    feeds.acknowledge(1);
    feeds.change();
    const before = feeds.pushedBytes;
    feeds.change();
    return feeds.pushedBytes - before;
  },

  /** What an operator's question for all nodes' feeds is answered with. */
  rolloutBytes(count: number): number {
    const state = (i: number): Parameters<typeof create<typeof FeedStateType>>[1] => ({
      name: `vise-${i}`,
      revision: 1_000_000 + i,
      configurationVersion: 5700,
      age: 120,
    });
    const feeds = Array.from({ length: count }, (_, i) => create(FeedStateSchema, state(i)));
    const body: BodyInit = { case: "storeReply", value: { outcome: "done", feeds } };
    return Wire.encode({ id: 1, from: "lathe-1", to: "lathe-2", fromAddress: "10.0.0.1:7000", body }).length;
  },
};
