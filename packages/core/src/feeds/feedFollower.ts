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

export interface Change {
  key: string;
  value: Uint8Array | undefined;
  revision: number;
}

interface UnacceptedFeed {
  readonly controlNode: string;
  readonly askedAt: number;
}

/**
 * Follows the store's numbered changes from one control node at a time and appends them to the journal.
 * Invariants: `revision` only rises; a push is applied only in its number's turn, and whole: one with a difference
 * whose base is not held here is refused, and everything is asked for anew.
 */
export class FeedFollower extends EventEmitter<{ first: [] }> {
  static readonly staleMs = 1450;
  /**
   * A push answers an acknowledgement, at the control node's next beat (500 ms) at the latest. What comes later than
   * this was
   * on its way, or in a buffer of a process that stood still, for the rest of the time.
   */
  static readonly answerMs = 700;
  /** Two beats without a word: another control node is asked before what this node knows is stale. */
  static readonly silentMs = 1000;
  /** A control node says at once whether it takes a feed. */
  static readonly acceptMs = 500;
  /** Feeds not accepted in time that are remembered: slow machines answer late, and asking anew makes it no sooner. */
  static readonly maxUnaccepted = 4;
  /** A first snapshot may take this long; asking elsewhere sooner only makes it later. What follows is short. */
  static readonly openMs = 2500;
  /** After a control node let go of the feed; it may have been told so at once. */
  static readonly closedMs = 200;
  static readonly reopenMs = 1000;
  static readonly livelyMs = 900;

  static readonly #noValue = new Uint8Array();

  readonly #rpc: RpcEndpoint;
  readonly #membership: Membership;
  readonly #clock: Clock;
  readonly #random: RandomSource;
  readonly #prefixes: string[];
  readonly #journal: ChangeJournal<Change>;
  /** The keys held, to tell from a snapshot what is gone, and large values, which differences apply to. */
  readonly #keys = new Map<string, ValueVersion>();
  #feed = "";
  #controlNode = "";
  #number = 0;
  /** Invariant: at most `answerMs` later than when the control node sent what was heard. */
  #heardAt = -Infinity;
  #arrivedAt = -Infinity;
  /** When the last push was acknowledged first, or the feed was opened. */
  #askedAt = -Infinity;
  #openedAt = -Infinity;
  #opens = 0;
  /** Feeds that were asked for and not accepted in time: word of them, or their first push, may still be on its way. */
  readonly #unaccepted = new Map<string, UnacceptedFeed>();
  /**
   * The control node let go of the feed. What was heard before stays as old as it is: another control node may go on
   * from it.
   */
  #isClosed = false;
  /** A push was refused: nothing but a snapshot will do. */
  #needsSnapshot = false;
  /** Pushes that were refused for want of a difference's base. */
  refused = 0;
  revision = 0;
  /** Told by the configuration's view, to be acknowledged. */
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
    this.#rpc.serve("feedPush", (push, frame) => this.#take(push, frame.from));
    this.#rpc.serve("feedClose", (close) => {
      if (close.feed === this.#feed) this.#isClosed = true;
      return undefined;
    });
  }

  /** Milliseconds since the store was last heard through a control node in touch with its majority. */
  get age(): number {
    return this.#clock.now() - this.#heardAt;
  }

  get isFresh(): boolean {
    return this.revision > 0 && this.age < FeedFollower.staleMs;
  }

  start(): void {
    this.#open();
    this.#clock.every(100, () => {
      if (this.#isClosed && this.#clock.now() - this.#openedAt > FeedFollower.closedMs) return this.#open();
      if (
        this.#clock.now() - this.#arrivedAt > FeedFollower.silentMs &&
        this.#clock.now() - this.#openedAt > (this.revision === 0 ? FeedFollower.openMs : FeedFollower.reopenMs)
      )
        this.#open();
    });
  }

  #open(): void {
    const controlNodes = this.#membership.alive(nodeRole.control).filter((member) => member.isInStore);
    const lively = controlNodes.filter(
      ({ name }) =>
        name !== this.#controlNode &&
        !this.#rpc.isUnresponsive(name) &&
        this.#membership.ageOf(name) < FeedFollower.livelyMs,
    );
    const { zone } = this.#membership.self;
    const ranked = Rendezvous.nearest(this.#rpc.name, zone, lively.length > 0 ? lively : controlNodes);
    const controlNode = ranked[this.#opens % Math.max(1, ranked.length)];
    if (controlNode === undefined) return;
    this.#opens += 1;
    this.#isClosed = false;
    this.#openedAt = this.#askedAt = this.#clock.now();
    this.#feed = `${this.#rpc.name}/${this.#random.identity().slice(0, 8)}`;
    this.#controlNode = controlNode;
    this.#number = 0;
    void this.#ask(controlNode, this.#feed);
  }

  /** A refusal may be lost: who does not say that a push will come is not waited for. */
  async #ask(controlNode: string, feed: string): Promise<void> {
    const value = {
      feed,
      name: this.#rpc.name,
      prefixes: this.#prefixes,
      revision: this.#needsSnapshot ? 0 : this.revision,
    };
    const reply = await this.#rpc.call(controlNode, { case: "feedOpen", value }, FeedFollower.acceptMs);
    const isAccepted = reply?.case === "done" || this.#number > 0;
    if (feed !== this.#feed || isAccepted) return;
    this.#isClosed = true;
    if (reply === undefined) this.#remember(feed, controlNode);
  }

  #remember(feed: string, controlNode: string): void {
    this.#unaccepted.set(feed, { controlNode, askedAt: this.#askedAt });
    const [oldest] = this.#unaccepted.keys();
    if (this.#unaccepted.size > FeedFollower.maxUnaccepted) this.#unaccepted.delete(oldest!);
  }

  /** The first push of a feed that was not accepted in time makes it the feed; it is as old as its question. */
  #adopt(push: FeedPush, from: string): void {
    const { controlNode, askedAt } = this.#unaccepted.get(push.feed) ?? {};
    if (controlNode !== from || askedAt === undefined || push.number !== 1 || this.#number > 0) return;
    this.#feed = push.feed;
    this.#controlNode = controlNode;
    this.#askedAt = askedAt;
    this.#isClosed = false;
  }

  #take(push: FeedPush, from: string): undefined {
    if (push.feed !== this.#feed) this.#adopt(push, from);
    if (push.feed !== this.#feed || from !== this.#controlNode) return undefined;
    if (push.number === this.#number + 1 && (push.isSnapshot || push.fromRevision <= this.revision)) {
      if (push.revision < this.revision) return undefined;
      if (!push.isSnapshot) push.kvs = push.kvs.filter((kv) => kv.revision > this.revision);
      if (!push.kvs.every((kv) => this.#unpack(kv))) return this.#refuse();
      this.#number = push.number;
      this.#unaccepted.clear();
      this.#hear();
      this.#apply(push);
    }
    const ack = {
      feed: this.#feed,
      number: this.#number,
      revision: this.revision,
      configurationVersion: this.configurationVersion(),
      fault: this.fault(),
    };
    this.#rpc.send(from, { case: "feedAck", value: ack });
    return undefined;
  }

  /** False where the value can't be had from what is held here. */
  #unpack(kv: Kv): boolean {
    const value = PackedValue.unpack(kv, this.#keys.get(kv.key));
    if (value !== undefined) kv.value = value;
    else if (this.#keys.has(kv.key)) this.#keys.set(kv.key, { value: FeedFollower.#noValue, revision: 0 });
    return value !== undefined;
  }

  #refuse(): undefined {
    this.refused += 1;
    this.#needsSnapshot = true;
    // At once, but not again and again: the next look opens it where this feed is as young.
    if (this.#clock.now() - this.#openedAt > FeedFollower.closedMs) this.#open();
    else this.#isClosed = true;
    return undefined;
  }

  #hear(): void {
    const now = this.#clock.now();
    this.#heardAt = Math.max(this.#heardAt, Math.min(now, this.#askedAt + FeedFollower.answerMs));
    this.#arrivedAt = this.#askedAt = now;
  }

  #apply(push: FeedPush): void {
    const isFirst = this.revision === 0;
    if (push.isSnapshot) this.#needsSnapshot = false;
    if (push.isSnapshot) this.#applySnapshot(push.kvs);
    else for (const kv of push.kvs) this.#change(kv.key, kv.isGone ? undefined : kv.value, kv.revision);
    this.revision = push.revision;
    if (isFirst && this.revision > 0) this.emit("first");
  }

  #applySnapshot(kvs: Kv[]): void {
    const present = new Set(kvs.map((kv) => kv.key));
    for (const key of [...this.#keys.keys()]) if (!present.has(key)) this.#change(key, undefined, this.revision);
    for (const kv of kvs)
      if (this.#keys.get(kv.key)?.revision !== kv.revision) this.#change(kv.key, kv.value, kv.revision);
  }

  #change(key: string, value: Uint8Array | undefined, revision: number): void {
    if (value === undefined) this.#keys.delete(key);
    else this.#keys.set(key, { value: PackedValue.isLarge(value) ? value : FeedFollower.#noValue, revision });
    this.#journal.append({ key, value, revision });
  }
}
