import { create } from "@bufbuild/protobuf";
import {
  FeedStateSchema,
  type FeedAck,
  type FeedOpen,
  type FeedState,
  type Kv,
} from "@cranetrack/core/gen/cranetrack_pb.js";
import type { Clock } from "@cranetrack/core/runtime/clock.js";
import type { ChangeLog } from "./changeLog.js";
import { IncarnationsKey } from "@cranetrack/core/keys/incarnationsKey.js";
import { ValueHistory } from "./valueHistory.js";

/**
 * One node's feed: what was sent to it, what it has acknowledged, and what it lacks. Times in milliseconds.
 * Invariant: at most one push is unacknowledged, the one with `number`.
 */
export class Feed {
  readonly id: string;
  readonly nodeName: string;
  readonly prefixes: readonly string[];
  ackedRevision: number;
  /** Of the last push, or where a push that was lost is to begin again. */
  sentRevision: number;
  /** Revision up to which nothing that the node follows has changed since. */
  unchangedTo = 0;
  number = 0;
  ackedNumber = 0;
  sentAt = -Infinity;
  /** No large value is sent before this, unless something else is. */
  largeNotBefore = -Infinity;
  lastContactAt: number;
  /** The configuration in force at the node, and why it can't read a newer one, if it can't; as it says. */
  configurationVersion = 0;
  fault = "";
  /** Whether pushes may go out: this control node has `requiredRevision`. */
  isReady = false;
  readonly openedAt: number;
  /** What the leader had committed once the feed was open; undefined until the leader has said so. */
  requiredRevision: number | undefined;

  constructor({ feed, name, prefixes, revision }: FeedOpen, now: number) {
    this.id = feed;
    this.nodeName = name;
    this.prefixes = prefixes;
    this.ackedRevision = this.sentRevision = revision;
    this.lastContactAt = this.openedAt = now;
  }

  /** Whether a push is in flight. */
  get isUnacknowledged(): boolean {
    return this.number !== this.ackedNumber;
  }

  /** Whether the node asked for changes of this key. */
  follows(kv: Kv): boolean {
    return this.prefixes.some((prefix) => kv.key.startsWith(prefix));
  }

  /** Whether something that the node follows has changed and may be sent; for the rest the next heartbeat will do. */
  hasPending(changes: ChangeLog, revision: number, clock: Clock): boolean {
    if (!this.isReady || this.sentRevision >= revision) return false;
    if (this.sentRevision < changes.since) return true;
    const unsent = changes.after(Math.max(this.sentRevision, this.unchangedTo)).filter((kv) => this.follows(kv));
    if (unsent.length > 0) return clock.now() >= this.largeNotBefore || !unsent.every(mayWait);
    this.unchangedTo = revision;
    return false;
  }

  /** True where the newest push was acknowledged; what the node says of itself is noted in any case. */
  onAck(ack: FeedAck, now: number): boolean {
    this.lastContactAt = now;
    this.configurationVersion = ack.configurationVersion;
    this.fault = ack.fault;
    if (ack.number !== this.number) return false;
    this.ackedNumber = ack.number;
    this.sentRevision = this.ackedRevision = ack.revision;
    return true;
  }

  /** Goes back to what the node has acknowledged: the next push has the same number as the lost one. */
  rewind(): void {
    this.number -= 1;
    this.sentRevision = this.ackedRevision;
  }

  /** What operators are shown; `age` counts milliseconds since the node was heard from. */
  state(now: number): FeedState {
    return create(FeedStateSchema, {
      name: this.nodeName,
      revision: this.ackedRevision,
      configurationVersion: this.configurationVersion,
      age: Math.round(now - this.lastContactAt),
      fault: this.fault,
    });
  }
}

/** Incarnations are of no use before the configuration that they were written with. */
function mayWait(kv: Kv): boolean {
  return ValueHistory.isLarge(kv) || kv.key === IncarnationsKey.name;
}
