import type { FeedAck, FeedOpen, FeedState, Kv } from "@cranetrack/core/gen/cranetrack_pb.js";
import type { BodyInit } from "@cranetrack/core/rpc/wire.js";
import type { ClusterNode } from "@cranetrack/core/runtime/clusterNode.js";
import type { RaftNode } from "../consensus/raftNode.js";
import { ChangeLog } from "./changeLog.js";
import { Feed } from "./feed.js";
import { ValueHistory } from "./valueHistory.js";

/**
 * Pushes numbered changes of the metadata store to the nodes that follow it, one push in flight a feed.
 * Invariant: a feed is sent nothing while this control node is out of touch with the majority, and at first nothing
 * older than what the leader had committed when the feed was opened.
 */
export class Feeds {
  /** A node is sent a push, empty if need be, at least this often: its heartbeat. */
  static readonly tickIntervalMs = 500;
  /**
   * Large values are sent at most once in this time and a millisecond for each `paceBytes` of them, the newest then:
   * a node reads them whole after each change. Never less often than each `maxPaceMs`.
   */
  static readonly paceMs = 100;
  static readonly paceBytes = 2000;
  static readonly maxPaceMs = 1000;
  /** A control node that still lacks what was committed when the feed was opened closes it after this. */
  static readonly behindMs = 1500;
  /** A push that is not acknowledged within this is sent again. */
  static readonly #resendMs = 300;
  /** A feed whose node was not heard from for this long is forgotten. */
  static readonly #expiryMs = 5000;
  static readonly #outOfTouch = "out of touch with the majority";

  readonly #node: ClusterNode;
  readonly #raft: RaftNode;
  readonly #feeds = new Map<string, Feed>();
  readonly #values: ValueHistory;
  readonly #confirmRevision: () => Promise<number | undefined>;
  readonly #changes: ChangeLog;
  #isPushScheduled = false;

  /** `confirmRevision`: the revision that a majority has committed now; undefined where that can't be told. */
  constructor(
    node: ClusterNode,
    raft: RaftNode,
    values: ValueHistory,
    confirmRevision: () => Promise<number | undefined>,
  ) {
    this.#node = node;
    this.#raft = raft;
    this.#values = values;
    this.#confirmRevision = confirmRevision;
    this.#changes = new ChangeLog(raft.metadata.revision);
    raft.on("applied", ({ changes }) => this.#onApplied(changes));
    raft.on("snapshotInstalled", () => this.#changes.reset(raft.metadata.revision));
    node.rpc.serve("feedOpen", (open) => this.#onOpen(open));
    node.rpc.serve("feedAck", (ack) => this.#onAck(ack));
    node.parts.clock.every(50, () => this.#tick());
  }

  /** What each node with a feed here has acknowledged. */
  states(): FeedState[] {
    const now = this.#node.parts.clock.now();
    return [...this.#feeds.values()].map((feed) => feed.state(now));
  }

  /** Tells every node why, so that it opens a feed at another control node at once. */
  closeAll(reason: string): void {
    for (const feed of [...this.#feeds.values()]) this.#close(feed, reason);
  }

  /** Pushes once all that is applied in this turn is in the log: one push for all of it. */
  #onApplied(changes: Kv[]): void {
    this.#changes.append(changes);
    if (changes.length === 0 || this.#isPushScheduled) return;
    this.#isPushScheduled = true;
    this.#node.parts.clock.once(0, () => {
      this.#isPushScheduled = false;
      for (const feed of this.#feeds.values()) if (!feed.isUnacknowledged && this.#hasPending(feed)) this.#push(feed);
    });
  }

  /** Says at once whether a first push will come; what goes wrong later closes the feed. */
  #onOpen(open: FeedOpen): BodyInit {
    for (const [id, feed] of this.#feeds) if (feed.nodeName === open.name) this.#feeds.delete(id);
    const feed = new Feed(open, this.#node.parts.clock.now());
    if (!this.#raft.isInTouch) return { case: "fault", value: { code: "away", message: Feeds.#outOfTouch } };
    this.#feeds.set(open.feed, feed);
    void this.#startOnceConfirmed(feed, open.revision);
    return { case: "done", value: {} };
  }

  async #startOnceConfirmed(feed: Feed, revision: number): Promise<void> {
    const confirmed = await this.#confirmRevision();
    if (confirmed === undefined) return this.#close(feed, Feeds.#outOfTouch);
    feed.requiredRevision = Math.max(confirmed, revision);
    this.#startIfCaughtUp(feed);
  }

  /** The first push goes out once this control node has what was committed when the feed was opened. */
  #startIfCaughtUp(feed: Feed): void {
    if (feed.isReady || feed.requiredRevision === undefined) return;
    if (this.#raft.metadata.revision < feed.requiredRevision) return;
    feed.isReady = true;
    this.#push(feed);
  }

  #onAck(ack: FeedAck): undefined {
    const feed = this.#feeds.get(ack.feed);
    if (feed?.onAck(ack, this.#node.parts.clock.now()) === true && this.#hasPending(feed)) this.#push(feed);
    return undefined;
  }

  #tick(): void {
    const now = this.#node.parts.clock.now();
    for (const feed of this.#feeds.values()) {
      this.#startIfCaughtUp(feed);
      if (!this.#raft.isInTouch) this.#close(feed, Feeds.#outOfTouch);
      else if (!feed.isReady && now - feed.openedAt > Feeds.behindMs) this.#close(feed, "behind the majority");
      else if (now - feed.lastContactAt > Feeds.#expiryMs) this.#feeds.delete(feed.id);
      else if (!feed.isReady) continue;
      else if (feed.isUnacknowledged) this.#resendIfLate(feed, now);
      else if (now - feed.sentAt >= Feeds.tickIntervalMs || this.#hasPending(feed)) this.#push(feed);
    }
  }

  #close(feed: Feed, reason: string): void {
    this.#feeds.delete(feed.id);
    this.#node.rpc.send(feed.nodeName, { case: "feedClose", value: { feed: feed.id, reason } });
  }

  #resendIfLate(feed: Feed, now: number): void {
    if (now - feed.sentAt <= Feeds.#resendMs) return;
    feed.rewind();
    this.#push(feed);
  }

  #push(feed: Feed): void {
    if (!feed.isReady || !this.#raft.isInTouch) return;
    feed.number += 1;
    const now = (feed.sentAt = this.#node.parts.clock.now());
    const from = feed.sentRevision;
    const isSnapshot = from === 0 || from < this.#changes.since;
    const changed = isSnapshot
      ? feed.prefixes.flatMap((prefix) => this.#raft.metadata.range(prefix))
      : this.#changes.after(from).filter((kv) => feed.follows(kv));
    const large = changed.filter(ValueHistory.isLarge).reduce((sum, kv) => sum + kv.value.length, 0);
    if (large > 0) feed.largeNotBefore = now + Math.min(Feeds.paceMs + large / Feeds.paceBytes, Feeds.maxPaceMs);
    const kvs = changed.map((kv) => this.#values.packSince(kv, isSnapshot ? 0 : from));
    feed.sentRevision = this.#raft.metadata.revision;
    this.#node.rpc.send(feed.nodeName, {
      case: "feedPush",
      value: { feed: feed.id, number: feed.number, isSnapshot, kvs, fromRevision: from, revision: feed.sentRevision },
    });
  }

  #hasPending(feed: Feed): boolean {
    return feed.hasPending(this.#changes, this.#raft.metadata.revision, this.#node.parts.clock);
  }
}
