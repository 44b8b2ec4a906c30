import { create } from "@bufbuild/protobuf";
import {
  FeedStateSchema,
  type FeedAck,
  type FeedOpen,
  type FeedState,
  type Kv,
} from "@cranetrack/core/gen/cranetrack_pb.js";
import type { BodyInit } from "@cranetrack/core/rpc/wire.js";
import type { ClusterNode } from "@cranetrack/core/runtime/clusterNode.js";
import type { RaftNode } from "../consensus/raftNode.js";
import { ValueHistory } from "./valueHistory.js";

interface Feed {
  readonly feed: string;
  readonly name: string;
  readonly prefixes: readonly string[];
  /** Revision the node has acknowledged, and the one told last. */
  acked: number;
  told: number;
  /** Revision up to which nothing that the node follows has changed since. */
  idleTo: number;
  number: number;
  ackedNumber: number;
  toldAt: number;
  /** No large value is told before this, unless something else is. */
  paceTo: number;
  heardAt: number;
  configurationVersion: number;
  fault: string;
  isReady: boolean;
  openedAt: number;
  /** What the leader had committed once the feed was open: nothing is told before this control node has it too. */
  confirmed: number | undefined;
}

/**
 * Numbered changes down held connections, one push in flight a feed; acknowledgements are counted.
 * Invariant: a feed is told nothing while this control node is out of touch with the majority, and at first nothing
 * older
 * than what the leader had committed when the feed was opened.
 */
export class Feeds {
  static readonly maxChanges = 20_000;
  static readonly tickIntervalMs = 500;
  /**
   * Large values are told at most once in this time and a millisecond for each `paceBytes` of them, the newest then:
   * a node reads them whole after each change. Never less often than each `mostPaceMs`.
   */
  static readonly paceMs = 100;
  static readonly paceBytes = 2000;
  static readonly maxPaceMs = 1000;
  /** A control node that still lacks what was committed when the feed was opened lets go of it after this. */
  static readonly behindMs = 1500;
  static readonly #outOfTouch = "out of touch with the majority";

  readonly #node: ClusterNode;
  readonly #raft: RaftNode;
  readonly #feeds = new Map<string, Feed>();
  readonly #values: ValueHistory;
  /** The revision that a majority stands behind now; undefined where that can't be told. */
  readonly #confirm: () => Promise<number | undefined>;
  /** Invariant: every change after `#since`, in order; of large values the newest alone. */
  #changes: Kv[] = [];
  /** Keys with a large value among the changes. */
  readonly #large = new Set<string>();
  #since: number;
  #isTurnDue = false;

  constructor(node: ClusterNode, raft: RaftNode, values: ValueHistory, confirm: () => Promise<number | undefined>) {
    this.#node = node;
    this.#raft = raft;
    this.#values = values;
    this.#confirm = confirm;
    this.#since = raft.metadata.revision;
    raft.on("applied", ({ changes }) => this.#keep(changes));
    raft.on("snapshotInstalled", () => {
      this.#changes = [];
      this.#large.clear();
      this.#since = raft.metadata.revision;
    });
    node.rpc.serve("feedOpen", (open) => this.#open(open));
    node.rpc.serve("feedAck", (ack) => this.#ack(ack));
    node.parts.clock.every(50, () => this.#tick());
  }

  states(): FeedState[] {
    const now = this.#node.parts.clock.now();
    return [...this.#feeds.values()].map((feed) =>
      create(FeedStateSchema, {
        name: feed.name,
        revision: feed.acked,
        configurationVersion: feed.configurationVersion,
        age: Math.round(now - feed.heardAt),
        fault: feed.fault,
      }),
    );
  }

  #keep(changes: Kv[]): void {
    for (const kv of changes) this.#dropLarge(kv.key);
    this.#changes.push(...changes);
    for (const kv of changes) if (ValueHistory.isLarge(kv)) this.#large.add(kv.key);
    if (this.#changes.length > Feeds.maxChanges) {
      const cut = this.#changes.splice(0, this.#changes.length - Feeds.maxChanges / 2);
      this.#since = cut.at(-1)!.revision;
    }
    if (changes.length === 0 || this.#isTurnDue) return;
    this.#isTurnDue = true;
    this.#node.parts.clock.once(0, () => {
      this.#isTurnDue = false;
      for (const feed of this.#feeds.values())
        if (feed.number === feed.ackedNumber && this.#isPending(feed)) this.#tell(feed);
    });
  }

  /** Who is told a large value's newest version needs none before. */
  #dropLarge(key: string): void {
    const isEarlier = (kv: Kv): boolean => kv.key === key && ValueHistory.isLarge(kv);
    if (this.#large.delete(key)) this.#changes = this.#changes.filter((kv) => !isEarlier(kv));
  }

  /** Says at once whether a first push will come; what goes wrong later closes the feed. */
  #open(open: FeedOpen): BodyInit {
    for (const [id, feed] of this.#feeds) if (feed.name === open.name) this.#feeds.delete(id);
    const now = this.#node.parts.clock.now();
    const feed: Feed = {
      feed: open.feed,
      name: open.name,
      prefixes: open.prefixes,
      acked: open.revision,
      told: open.revision,
      idleTo: 0,
      number: 0,
      ackedNumber: 0,
      toldAt: -Infinity,
      paceTo: -Infinity,
      heardAt: now,
      configurationVersion: 0,
      fault: "",
      isReady: false,
      openedAt: now,
      confirmed: undefined,
    };
    if (!this.#raft.isInTouch) return { case: "fault", value: { code: "away", message: Feeds.#outOfTouch } };
    this.#feeds.set(open.feed, feed);
    void this.#confirmFirst(feed, open.revision);
    return { case: "done", value: {} };
  }

  async #confirmFirst(feed: Feed, revision: number): Promise<void> {
    const confirmed = await this.#confirm();
    if (confirmed === undefined) return this.#close(feed, Feeds.#outOfTouch);
    feed.confirmed = Math.max(confirmed, revision);
    this.#begin(feed);
  }

  /** The first push goes out once this control node has what was committed when the feed was opened. */
  #begin(feed: Feed): void {
    if (feed.isReady || feed.confirmed === undefined || this.#raft.metadata.revision < feed.confirmed) return;
    feed.isReady = true;
    this.#tell(feed);
  }

  #ack(ack: FeedAck): undefined {
    const feed = this.#feeds.get(ack.feed);
    if (feed === undefined) return undefined;
    feed.heardAt = this.#node.parts.clock.now();
    feed.configurationVersion = ack.configurationVersion;
    feed.fault = ack.fault;
    if (ack.number !== feed.number) return undefined;
    feed.ackedNumber = ack.number;
    feed.told = feed.acked = ack.revision;
    if (this.#isPending(feed)) this.#tell(feed);
    return undefined;
  }

  #tick(): void {
    const now = this.#node.parts.clock.now();
    for (const feed of this.#feeds.values()) {
      this.#begin(feed);
      if (!this.#raft.isInTouch) this.#close(feed, Feeds.#outOfTouch);
      else if (!feed.isReady && now - feed.openedAt > Feeds.behindMs) this.#close(feed, "behind the majority");
      else if (now - feed.heardAt > 5000) this.#feeds.delete(feed.feed);
      else if (!feed.isReady) continue;
      else if (feed.number !== feed.ackedNumber) this.#againIfLate(feed, now);
      else if (now - feed.toldAt >= Feeds.tickIntervalMs || this.#isPending(feed)) this.#tell(feed);
    }
  }

  closeAll(reason: string): void {
    for (const feed of [...this.#feeds.values()]) this.#close(feed, reason);
  }

  #close(feed: Feed, reason: string): void {
    this.#feeds.delete(feed.feed);
    this.#node.rpc.send(feed.name, { case: "feedClose", value: { feed: feed.feed, reason } });
  }

  /** What was told and not acknowledged is told again from where the node was, under the same number. */
  #againIfLate(feed: Feed, now: number): void {
    if (now - feed.toldAt <= 300) return;
    feed.number -= 1;
    feed.told = feed.acked;
    this.#tell(feed);
  }

  #tell(feed: Feed): void {
    if (!feed.isReady || !this.#raft.isInTouch) return;
    feed.number += 1;
    const now = (feed.toldAt = this.#node.parts.clock.now());
    const from = feed.told;
    const isSnapshot = from === 0 || from < this.#since;
    const whole = isSnapshot
      ? feed.prefixes.flatMap((prefix) => this.#raft.metadata.range(prefix))
      : this.#after(from).filter((kv) => Feeds.#isFollowed(feed, kv));
    const large = whole.filter(ValueHistory.isLarge).reduce((sum, kv) => sum + kv.value.length, 0);
    if (large > 0) feed.paceTo = now + Math.min(Feeds.paceMs + large / Feeds.paceBytes, Feeds.maxPaceMs);
    const kvs = whole.map((kv) => this.#values.packSince(kv, isSnapshot ? 0 : from));
    feed.told = this.#raft.metadata.revision;
    this.#node.rpc.send(feed.name, {
      case: "feedPush",
      value: { feed: feed.feed, number: feed.number, isSnapshot, kvs, fromRevision: from, revision: feed.told },
    });
  }

  /** Whether something that the node follows has changed; for the rest the next beat will do. */
  #isPending(feed: Feed): boolean {
    if (!feed.isReady || feed.told >= this.#raft.metadata.revision) return false;
    if (feed.told < this.#since) return true;
    const looked = Math.max(feed.told, feed.idleTo);
    const unsent = this.#after(looked).filter((kv) => Feeds.#isFollowed(feed, kv));
    if (unsent.length > 0) return this.#node.parts.clock.now() >= feed.paceTo || !unsent.every(ValueHistory.isLarge);
    feed.idleTo = this.#raft.metadata.revision;
    return false;
  }

  static #isFollowed(feed: Feed, kv: Kv): boolean {
    return feed.prefixes.some((prefix) => kv.key.startsWith(prefix));
  }

  #after(revision: number): Kv[] {
    let first = this.#changes.length;
    while (first > 0 && this.#changes[first - 1]!.revision > revision) first -= 1;
    return this.#changes.slice(first);
  }
}
