import type { FeedAck, FeedOpen, FeedState, Kv } from "@cranetrack/core/gen/cranetrack_pb.js";
import type { BodyInit } from "@cranetrack/core/rpc/wire.js";
import type { ClusterNode } from "@cranetrack/core/runtime/clusterNode.js";
import type { RaftNode } from "../consensus/raftNode.js";
import { ChangeLog } from "./changeLog.js";
import { Feed } from "./feed.js";
import { ValueHistory } from "./valueHistory.js";

/**
 * Pushes changes of the metadata store to the nodes that follow it. Pushes are numbered, with at most one in flight for
 * each feed.
 * Invariant: nothing is sent while this control node is out of touch with the majority, and the first push of a feed is
 * not older than what the leader had committed when the feed was opened.
 */
export class Feeds {
  /** Each node is sent a push at least this often; an empty push serves as a heartbeat. */
  static readonly heartbeatIntervalMs = 500;
  /**
   * Minimum interval between pushes of large values, plus a millisecond for each `largeValueBytesPerMs` bytes and at
   * most `maxLargeValueIntervalMs`. The interval limits the load on nodes, which read a complete value after each
   * change; after it only the newest version is sent.
   */
  static readonly largeValueIntervalMs = 100;
  static readonly largeValueBytesPerMs = 2000;
  static readonly maxLargeValueIntervalMs = 1000;
  /** A feed is closed if this control node has not applied its `requiredRevision` this long after it was opened. */
  static readonly catchUpTimeoutMs = 1500;
  /** Interval between checks of all feeds for due, late or expired pushes. */
  static readonly #checkIntervalMs = 50;
  /** A push that is not acknowledged within this time is sent again. */
  static readonly #resendAfterMs = 300;
  /** A feed is removed when its node has sent nothing for this long. */
  static readonly #expiryMs = 5000;
  static readonly #outOfTouchReason = "out of touch with the majority";

  readonly #node: ClusterNode;
  readonly #raft: RaftNode;
  readonly #feeds = new Map<string, Feed>();
  readonly #valueHistory: ValueHistory;
  readonly #confirmRevision: () => Promise<number | undefined>;
  readonly #changeLog: ChangeLog;
  #isPushScheduled = false;

  /** `confirmRevision` reads the revision that a majority has committed; undefined if no majority confirms it. */
  constructor(
    node: ClusterNode,
    raft: RaftNode,
    values: ValueHistory,
    confirmRevision: () => Promise<number | undefined>,
  ) {
    this.#node = node;
    this.#raft = raft;
    this.#valueHistory = values;
    this.#confirmRevision = confirmRevision;
    this.#changeLog = new ChangeLog(raft.metadata.revision);
    raft.on("applied", ({ changes }) => this.#onApplied(changes));
    raft.on("snapshotInstalled", () => this.#changeLog.reset(raft.metadata.revision));
    node.rpc.serve("feedOpen", (open) => this.#onOpen(open));
    node.rpc.serve("feedAck", (ack) => this.#onAck(ack));
    node.parts.clock.every(Feeds.#checkIntervalMs, () => this.#tick());
  }

  /** The state of each feed at this control node. */
  states(): FeedState[] {
    const now = this.#node.parts.clock.now();
    return [...this.#feeds.values()].map((feed) => feed.state(now));
  }

  /** Closes all feeds with this reason; each node opens a feed at another control node at once. */
  closeAll(reason: string): void {
    for (const feed of [...this.#feeds.values()]) this.#close(feed, reason);
  }

  /** Schedules one push for all changes that are applied in this turn of the event loop. */
  #onApplied(changes: Kv[]): void {
    this.#changeLog.append(changes);
    if (changes.length === 0 || this.#isPushScheduled) return;
    this.#isPushScheduled = true;
    this.#node.parts.clock.once(0, () => {
      this.#isPushScheduled = false;
      for (const feed of this.#feeds.values())
        if (!feed.isUnacknowledged && this.#hasChangesToPush(feed)) this.#push(feed);
    });
  }

  /** Accepts the feed or rejects it at once; a later failure closes the feed. */
  #onOpen(open: FeedOpen): BodyInit {
    for (const [id, feed] of this.#feeds) if (feed.nodeName === open.name) this.#feeds.delete(id);
    const feed = new Feed(open, this.#node.parts.clock.now());
    if (!this.#raft.isInTouch) return { case: "fault", value: { code: "away", message: Feeds.#outOfTouchReason } };
    this.#feeds.set(open.feed, feed);
    void this.#startOnceConfirmed(feed, open.revision);
    return { case: "done", value: {} };
  }

  async #startOnceConfirmed(feed: Feed, revision: number): Promise<void> {
    const committedRevision = await this.#confirmRevision();
    if (committedRevision === undefined) return this.#close(feed, Feeds.#outOfTouchReason);
    feed.requiredRevision = Math.max(committedRevision, revision);
    this.#startIfCaughtUp(feed);
  }

  /** Sends the first push once this control node has applied what was committed when the feed was opened. */
  #startIfCaughtUp(feed: Feed): void {
    if (feed.isReady || feed.requiredRevision === undefined) return;
    if (this.#raft.metadata.revision < feed.requiredRevision) return;
    feed.isReady = true;
    this.#push(feed);
  }

  #onAck(ack: FeedAck): undefined {
    const feed = this.#feeds.get(ack.feed);
    if (feed?.acknowledge(ack, this.#node.parts.clock.now()) === true && this.#hasChangesToPush(feed)) this.#push(feed);
    return undefined;
  }

  #tick(): void {
    const now = this.#node.parts.clock.now();
    for (const feed of this.#feeds.values()) {
      this.#startIfCaughtUp(feed);
      if (!this.#raft.isInTouch) this.#close(feed, Feeds.#outOfTouchReason);
      else if (!feed.isReady && now - feed.openedAt > Feeds.catchUpTimeoutMs) this.#close(feed, "behind the majority");
      else if (now - feed.lastContactAt > Feeds.#expiryMs) this.#feeds.delete(feed.id);
      else if (!feed.isReady) continue;
      else if (feed.isUnacknowledged) this.#resendIfLate(feed, now);
      else if (now - feed.sentAt >= Feeds.heartbeatIntervalMs || this.#hasChangesToPush(feed)) this.#push(feed);
    }
  }

  #close(feed: Feed, reason: string): void {
    this.#feeds.delete(feed.id);
    this.#node.rpc.send(feed.nodeName, { case: "feedClose", value: { feed: feed.id, reason } });
  }

  #resendIfLate(feed: Feed, now: number): void {
    if (now - feed.sentAt <= Feeds.#resendAfterMs) return;
    feed.rewind();
    this.#push(feed);
  }

  #push(feed: Feed): void {
    if (!feed.isReady || !this.#raft.isInTouch) return;
    feed.pushNumber += 1;
    const now = (feed.sentAt = this.#node.parts.clock.now());
    const fromRevision = feed.sentRevision;
    const isSnapshot = fromRevision === 0 || fromRevision < this.#changeLog.completeAfter;
    const changed = isSnapshot
      ? feed.prefixes.flatMap((prefix) => this.#raft.metadata.range(prefix))
      : this.#changeLog.after(fromRevision).filter((kv) => feed.follows(kv));
    const largeBytes = changed.filter(ValueHistory.isLarge).reduce((sum, kv) => sum + kv.value.length, 0);
    if (largeBytes > 0)
      feed.largeValuesNotBefore =
        now +
        Math.min(Feeds.largeValueIntervalMs + largeBytes / Feeds.largeValueBytesPerMs, Feeds.maxLargeValueIntervalMs);
    const kvs = changed.map((kv) => this.#valueHistory.packForStoreRevision(kv, isSnapshot ? 0 : fromRevision));
    feed.sentRevision = this.#raft.metadata.revision;
    this.#node.rpc.send(feed.nodeName, {
      case: "feedPush",
      value: { feed: feed.id, number: feed.pushNumber, isSnapshot, kvs, fromRevision, revision: feed.sentRevision },
    });
  }

  #hasChangesToPush(feed: Feed): boolean {
    return feed.hasChangesToPush(this.#changeLog, this.#raft.metadata.revision, this.#node.parts.clock);
  }
}
