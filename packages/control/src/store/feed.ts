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
 * The feed of one node: what was sent to the node and what it has acknowledged. Times are in milliseconds.
 * Invariant: at most one push is unacknowledged, the one numbered `pushNumber`.
 */
export class Feed {
  readonly id: string;
  readonly nodeName: string;
  readonly prefixes: readonly string[];
  /** Revision that the node has reached, as it acknowledged last. */
  ackedRevision: number;
  /** Revision of the last push; after a lost push, the revision from which it is repeated. */
  sentRevision: number;
  /** No key that the node follows changed after `sentRevision` up to this revision. */
  unchangedUpTo = 0;
  /** Number of the last push. */
  pushNumber = 0;
  /** Number of the last acknowledged push. */
  ackedNumber = 0;
  /** When the last push was sent. */
  sentAt = -Infinity;
  /** Before this time a push does not go out for large values alone. */
  largeValuesNotBefore = -Infinity;
  /** When the feed was opened or its last acknowledgement arrived. */
  lastContactAt: number;
  /** Version of the configuration in force at the node, as the node reports. */
  configurationVersion = 0;
  /** Why the node can't read a newer configuration, as the node reports; empty if there is no fault. */
  configurationFault = "";
  /** Whether pushes may go out: this control node has applied `requiredRevision`. */
  isReady = false;
  readonly openedAt: number;
  /** Revision committed at the leader after the feed was opened; undefined until the leader has confirmed it. */
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
    return this.pushNumber !== this.ackedNumber;
  }

  /** Whether the node asked for changes of this key. */
  follows(kv: Kv): boolean {
    return this.prefixes.some((prefix) => kv.key.startsWith(prefix));
  }

  /** Whether a push is due for changed keys that the node follows; other changes wait for the next heartbeat. */
  hasChangesToPush(changes: ChangeLog, revision: number, clock: Clock): boolean {
    if (!this.isReady || this.sentRevision >= revision) return false;
    if (this.sentRevision < changes.completeAfter) return true;
    const unsent = changes.after(Math.max(this.sentRevision, this.unchangedUpTo)).filter((kv) => this.follows(kv));
    if (unsent.length > 0) return clock.now() >= this.largeValuesNotBefore || !unsent.every(isDeferrable);
    this.unchangedUpTo = revision;
    return false;
  }

  /** Records the node's report. True if the acknowledgement is for the last push. */
  acknowledge(ack: FeedAck, now: number): boolean {
    this.lastContactAt = now;
    this.configurationVersion = ack.configurationVersion;
    this.configurationFault = ack.fault;
    if (ack.number !== this.pushNumber) return false;
    this.ackedNumber = ack.number;
    this.sentRevision = this.ackedRevision = ack.revision;
    return true;
  }

  /** Returns to the acknowledged revision, so that the next push repeats the lost one under the same number. */
  rewind(): void {
    this.pushNumber -= 1;
    this.sentRevision = this.ackedRevision;
  }

  /** The state shown to operators; `age` is the time in milliseconds since the node's last message. */
  state(now: number): FeedState {
    return create(FeedStateSchema, {
      name: this.nodeName,
      revision: this.ackedRevision,
      configurationVersion: this.configurationVersion,
      age: Math.round(now - this.lastContactAt),
      fault: this.configurationFault,
    });
  }
}

/** Large values may wait, and so may incarnations: they are useless without the configuration written with them. */
function isDeferrable(kv: Kv): boolean {
  return ValueHistory.isLarge(kv) || kv.key === IncarnationsKey.name;
}
