import { EventEmitter } from "node:events";
import type { FeedPush, Kv } from "../gen/cranetrack_pb.js";
import type { RandomSource } from "../runtime/random.js";
import type { Clock } from "../runtime/clock.js";
import type { RpcEndpoint } from "../rpc/rpcEndpoint.js";
import type { ChangeJournal } from "./changeJournal.js";
import type { Membership } from "../membership/membership.js";
import { Rendezvous } from "../membership/rendezvous.js";
import { PackedValue, type ValueVersion } from "../store/packedValue.js";
import { nodeRole } from "../membership/nodeRole.js";

/** A change of a key in the metadata store; `value` is undefined for a deletion. */
export interface Change {
  key: string;
  value: Uint8Array | undefined;
  revision: number;
}

interface UnacceptedFeed {
  readonly controlNode: string;
  readonly requestedAt: number;
}

/**
 * Follows the store's numbered changes from one control node at a time and appends them to the journal.
 * Invariants: `revision` only rises; a push is applied only in sequence and as a whole: one with a delta whose
 * base this node does not hold is refused, and a new snapshot is requested.
 */
export class FeedFollower extends EventEmitter<{ first: [] }> {
  /** Age above which what this node knows is no longer fresh. */
  static readonly staleMs = 1450;
  /**
   * The control node answers an acknowledgement with a push, at its next beat (500 ms) at the latest. A push that
   * arrives later than this spent the rest of the time on the way, or in a buffer of a paused process.
   */
  static readonly maxResponseMs = 700;
  /** Two beats without a push: another control node is asked before what this node knows is stale. */
  static readonly maxSilenceMs = 1000;
  /** How long a control node may take to accept a feed; it answers at once. */
  static readonly acceptTimeoutMs = 500;
  /** Most remembered feeds that were not accepted in time: slow machines answer late, and asking again is no faster. */
  static readonly maxUnaccepted = 4;
  /** How long a first snapshot may take; asking elsewhere sooner only delays it. Later pushes are short. */
  static readonly firstSnapshotTimeoutMs = 2500;
  /** Least time between opening a feed and replacing it after it was closed, which may happen at once. */
  static readonly reopenAfterCloseMs = 200;
  /** Least time between opening a feed and replacing it because no push came. */
  static readonly reopenAfterSilenceMs = 1000;
  /** Control nodes that have been silent for longer are asked only if there is no other. */
  static readonly maxContactAgeMs = 900;

  static readonly #noValue = new Uint8Array();

  readonly #rpc: RpcEndpoint;
  readonly #membership: Membership;
  readonly #clock: Clock;
  readonly #random: RandomSource;
  readonly #prefixes: string[];
  readonly #journal: ChangeJournal<Change>;
  /** The held keys, to detect deletions in a snapshot, with large values as the bases of deltas. */
  readonly #heldVersions = new Map<string, ValueVersion>();
  #feed = "";
  #controlNode = "";
  #lastPushNumber = 0;
  /** Invariant: at most `maxResponseMs` later than when the control node sent the last push. */
  #heardAt = -Infinity;
  #lastPushAt = -Infinity;
  /** When the feed was opened or the last push was first acknowledged. */
  #requestedAt = -Infinity;
  #openedAt = -Infinity;
  #openCount = 0;
  /** Feeds that were not accepted in time: the acceptance or the first push may still arrive. */
  readonly #unaccepted = new Map<string, UnacceptedFeed>();
  /**
   * Whether the control node closed the feed. The data received so far keeps its age, and another control node may
   * continue from it.
   */
  #isClosed = false;
  /** Whether a push was refused, so that only a snapshot helps. */
  #needsSnapshot = false;
  /** Pushes that were refused because the base of a delta was missing. */
  refused = 0;
  revision = 0;
  /** Version and fault of the configuration in force, which acknowledgements report. */
  configurationVersion: () => number = () => 0;
  fault: () => string = () => "";

  constructor(parts: {
    rpc: RpcEndpoint;
    membership: Membership;
    clock: Clock;
    random: RandomSource;
    prefixes: string[];
    journal: ChangeJournal<Change>;
  }) {
    super();
    this.setMaxListeners(0);
    this.#rpc = parts.rpc;
    this.#membership = parts.membership;
    this.#clock = parts.clock;
    this.#random = parts.random;
    this.#prefixes = parts.prefixes;
    this.#journal = parts.journal;
    this.#rpc.serve("feedPush", (push, frame) => this.#handlePush(push, frame.from));
    this.#rpc.serve("feedClose", (close) => {
      if (close.feed === this.#feed) this.#isClosed = true;
      return undefined;
    });
  }

  /** Milliseconds since the last push from a control node that is in contact with the store's majority. */
  get age(): number {
    return this.#clock.now() - this.#heardAt;
  }

  /** Whether this node has data of the store that is younger than `staleMs`. */
  get isFresh(): boolean {
    return this.revision > 0 && this.age < FeedFollower.staleMs;
  }

  /** Opens a feed and reopens it whenever it is closed or silent. To be called once. */
  start(): void {
    this.#open();
    this.#clock.every(100, () => {
      if (this.#isClosed && this.#clock.now() - this.#openedAt > FeedFollower.reopenAfterCloseMs) return this.#open();
      if (
        this.#clock.now() - this.#lastPushAt > FeedFollower.maxSilenceMs &&
        this.#clock.now() - this.#openedAt >
          (this.revision === 0 ? FeedFollower.firstSnapshotTimeoutMs : FeedFollower.reopenAfterSilenceMs)
      )
        this.#open();
    });
  }

  #open(): void {
    const controlNodes = this.#membership.alive(nodeRole.control).filter((member) => member.isInStore);
    const responsive = controlNodes.filter(
      ({ name }) =>
        name !== this.#controlNode &&
        !this.#rpc.isUnresponsive(name) &&
        this.#membership.sinceContactMs(name) < FeedFollower.maxContactAgeMs,
    );
    const { zone } = this.#membership.self;
    const ranked = Rendezvous.nearest(this.#rpc.name, zone, responsive.length > 0 ? responsive : controlNodes);
    const controlNode = ranked[this.#openCount % Math.max(1, ranked.length)];
    if (controlNode === undefined) return;
    this.#openCount += 1;
    this.#isClosed = false;
    this.#openedAt = this.#requestedAt = this.#clock.now();
    this.#feed = `${this.#rpc.name}/${this.#random.identity().slice(0, 8)}`;
    this.#controlNode = controlNode;
    this.#lastPushNumber = 0;
    void this.#requestFeed(controlNode, this.#feed);
  }

  /** A refusal may be lost, so a control node that does not accept in time counts as having closed the feed. */
  async #requestFeed(controlNode: string, feed: string): Promise<void> {
    const value = {
      feed,
      name: this.#rpc.name,
      prefixes: this.#prefixes,
      revision: this.#needsSnapshot ? 0 : this.revision,
    };
    const reply = await this.#rpc.call(controlNode, { case: "feedOpen", value }, FeedFollower.acceptTimeoutMs);
    const isAccepted = reply?.case === "done" || this.#lastPushNumber > 0;
    if (feed !== this.#feed || isAccepted) return;
    this.#isClosed = true;
    if (reply === undefined) this.#rememberUnaccepted(feed, controlNode);
  }

  #rememberUnaccepted(feed: string, controlNode: string): void {
    this.#unaccepted.set(feed, { controlNode, requestedAt: this.#requestedAt });
    const [oldest] = this.#unaccepted.keys();
    if (this.#unaccepted.size > FeedFollower.maxUnaccepted) this.#unaccepted.delete(oldest!);
  }

  /** Makes a feed that was not accepted in time the current one at its first push; its age counts from the request. */
  #adoptUnaccepted(push: FeedPush, from: string): void {
    const { controlNode, requestedAt } = this.#unaccepted.get(push.feed) ?? {};
    if (controlNode !== from || requestedAt === undefined || push.number !== 1 || this.#lastPushNumber > 0) return;
    this.#feed = push.feed;
    this.#controlNode = controlNode;
    this.#requestedAt = requestedAt;
    this.#isClosed = false;
  }

  #handlePush(push: FeedPush, from: string): undefined {
    if (push.feed !== this.#feed) this.#adoptUnaccepted(push, from);
    if (push.feed !== this.#feed || from !== this.#controlNode) return undefined;
    if (push.number === this.#lastPushNumber + 1 && (push.isSnapshot || push.fromRevision <= this.revision)) {
      if (push.revision < this.revision) return undefined;
      if (!push.isSnapshot) push.kvs = push.kvs.filter((kv) => kv.revision > this.revision);
      if (!push.kvs.every((kv) => this.#unpack(kv))) return this.#refusePush();
      this.#lastPushNumber = push.number;
      this.#unaccepted.clear();
      this.#recordPushTimes();
      this.#applyPush(push);
    }
    const ack = {
      feed: this.#feed,
      number: this.#lastPushNumber,
      revision: this.revision,
      configurationVersion: this.configurationVersion(),
      fault: this.fault(),
    };
    this.#rpc.send(from, { case: "feedAck", value: ack });
    return undefined;
  }

  /** Unpacks a value in place; returns false if its base is not held here or the value is damaged. */
  #unpack(kv: Kv): boolean {
    const value = PackedValue.unpack(kv, this.#heldVersions.get(kv.key));
    if (value !== undefined) kv.value = value;
    else if (this.#heldVersions.has(kv.key))
      this.#heldVersions.set(kv.key, { value: FeedFollower.#noValue, revision: 0 });
    return value !== undefined;
  }

  #refusePush(): undefined {
    this.refused += 1;
    this.#needsSnapshot = true;
    // A feed that was only just opened is replaced by the timer instead, so that refusals cause no tight loop.
    if (this.#clock.now() - this.#openedAt > FeedFollower.reopenAfterCloseMs) this.#open();
    else this.#isClosed = true;
    return undefined;
  }

  #recordPushTimes(): void {
    const now = this.#clock.now();
    this.#heardAt = Math.max(this.#heardAt, Math.min(now, this.#requestedAt + FeedFollower.maxResponseMs));
    this.#lastPushAt = this.#requestedAt = now;
  }

  #applyPush(push: FeedPush): void {
    const isFirst = this.revision === 0;
    if (push.isSnapshot) this.#needsSnapshot = false;
    if (push.isSnapshot) this.#applySnapshot(push.kvs);
    else for (const kv of push.kvs) this.#applyChange(kv.key, kv.isGone ? undefined : kv.value, kv.revision);
    this.revision = push.revision;
    if (isFirst && this.revision > 0) this.emit("first");
  }

  #applySnapshot(kvs: Kv[]): void {
    const present = new Set(kvs.map((kv) => kv.key));
    for (const key of [...this.#heldVersions.keys()])
      if (!present.has(key)) this.#applyChange(key, undefined, this.revision);
    for (const kv of kvs)
      if (this.#heldVersions.get(kv.key)?.revision !== kv.revision) this.#applyChange(kv.key, kv.value, kv.revision);
  }

  #applyChange(key: string, value: Uint8Array | undefined, revision: number): void {
    if (value === undefined) this.#heldVersions.delete(key);
    else this.#heldVersions.set(key, { value: PackedValue.isLarge(value) ? value : FeedFollower.#noValue, revision });
    this.#journal.append({ key, value, revision });
  }
}
