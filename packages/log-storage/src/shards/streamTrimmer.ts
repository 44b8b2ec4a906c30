import type { MessageInitShape } from "@bufbuild/protobuf";
import { Configurations } from "@cranetrack/core/configuration/configuration.js";
import type { TrimStreamSchema } from "@cranetrack/core/gen/cranetrack_pb.js";
import type { ClusterNode } from "@cranetrack/core/runtime/clusterNode.js";
import type { LeaderAuthority } from "./leaderAuthority.js";
import type { ServedStreams } from "./servedStreams.js";
import type { ShardLeader } from "./shardLeader.js";
import type { StreamLog } from "./streamLog.js";
import type { LogStatus } from "./streamStatuses.js";
import type { Replica } from "../replication/replica.js";

type StreamTrim = MessageInitShape<typeof TrimStreamSchema>;

interface StreamTrimmerParts {
  node: ClusterNode;
  replica: Replica;
  leader: ShardLeader;
  authority: LeaderAuthority;
  streams: ServedStreams;
  /** Streams in memory that somebody follows stay, though nobody publishes. */
  isFollowed: (stream: string) => boolean;
}

/**
 * Removes what no contract keeps any more: from memory once a second, from the replicated log by a command every 5 s
 * and at once where a space that is one stream was removed. The streams of topics that no contract covers stay for as
 * long as their messages were promised to: their spaces may be back by then.
 * Invariant: at most one trim command of this leader is under way.
 */
export class StreamTrimmer {
  /** Messages stay for at least this long, whatever the contract says. */
  static readonly minRetentionMs = 45_000;
  /** Numbers sent before are known for this long after their session's last one in the topic. */
  static readonly sessionRetentionMs = 600_000;
  static readonly repeatMarginMs = 5000;
  static readonly memoryIntervalMs = 1000;
  static readonly logIntervalMs = 5000;

  readonly #node: ClusterNode;
  readonly #replica: Replica;
  readonly #leader: ShardLeader;
  readonly #authority: LeaderAuthority;
  readonly #streams: ServedStreams;
  readonly #isFollowed: (stream: string) => boolean;
  #memoryTrimmedAt = 0;
  #logTrimmedAt = 0;
  #isTrimming = false;
  /** By stream, shard time since which no contract covers it; counted anew by each leader. */
  readonly #uncoveredSince = new Map<string, number>();

  constructor({ node, replica, leader, authority, streams, isFollowed }: StreamTrimmerParts) {
    this.#node = node;
    this.#replica = replica;
    this.#leader = leader;
    this.#authority = authority;
    this.#streams = streams;
    this.#isFollowed = isFollowed;
  }

  /** Trims what is due. */
  tick(): void {
    const now = this.#node.parts.clock.now();
    if (now - this.#memoryTrimmedAt >= StreamTrimmer.memoryIntervalMs) {
      this.#memoryTrimmedAt = now;
      const { shardTime } = this.#leader;
      this.#streams.memory.expire(shardTime, StreamTrimmer.sessionRetentionMs, this.#numbersMs, this.#isFollowed);
    }
    if (now - this.#logTrimmedAt < StreamTrimmer.logIntervalMs) return;
    this.#logTrimmedAt = now;
    void this.trimLog();
  }

  /** Proposes one command for all that is to go from the log; does nothing while one is under way. */
  async trimLog(): Promise<void> {
    if (!this.#authority.isOpen || this.#isTrimming) return;
    const { state } = this.#replica;
    const at = this.#leader.shardTime;
    const streams = [...state.streams.values()].flatMap((log) => this.#trimOf(log, at) ?? []);
    const forgetBefore = Math.max(0, at - StreamTrimmer.sessionRetentionMs);
    const forgetNumbersBefore = Math.max(0, at - this.#numbersMs);
    const hasForgettable = state.hasSessionsBefore(forgetBefore) || state.hasNumbersBefore(forgetNumbersBefore);
    if (streams.length === 0 && !hasForgettable) return;
    this.#isTrimming = true;
    await this.#leader.propose({ case: "trim", value: { streams, at, forgetBefore, forgetNumbersBefore } });
    this.#isTrimming = false;
  }

  /**
   * Numbers stay known for this long after they were taken: as long as a client may repeat them, and a publish that it
   * repeated last may be on its way.
   */
  get #numbersMs(): number {
    return this.#node.parts.settings.redeliveryMs + StreamTrimmer.repeatMarginMs;
  }

  /** What is to go of one stream; undefined where nothing is. */
  #trimOf(log: StreamLog, at: number): StreamTrim | undefined {
    const { stream, incarnation } = log;
    const status = this.#streams.statuses.ofLog(log);
    if (status === "ended" || this.#isOver(log, status, at)) return { stream, incarnation, isRemoved: true };
    const isKept = status === "current" && !this.#streams.statuses.isInMemory(stream);
    const kept = log.messages.findIndex((message) => {
      return message.at >= at - (isKept ? this.#retentionMs(message.topic) : StreamTrimmer.#promisedMs(log));
    });
    const low = kept === -1 ? log.head : log.messages[kept]!.seq - 1;
    return low > log.low ? { stream, incarnation, low } : undefined;
  }

  /** Whether no contract has covered the stream for as long as the last one kept its messages. */
  #isOver(log: StreamLog, status: LogStatus, at: number): boolean {
    if (status !== "uncovered") {
      this.#uncoveredSince.delete(log.stream);
      return false;
    }
    const since = this.#uncoveredSince.get(log.stream) ?? at;
    this.#uncoveredSince.set(log.stream, since);
    if (at - since < StreamTrimmer.#promisedMs(log)) return false;
    this.#uncoveredSince.delete(log.stream);
    return true;
  }

  #retentionMs(topic: string): number {
    const contract = Configurations.contractFor(this.#node.configuration.configuration, topic);
    return Math.max((contract?.keep ?? 0) * 1000, StreamTrimmer.minRetentionMs);
  }

  static #promisedMs({ keepMs }: StreamLog): number {
    return Math.max(keepMs, StreamTrimmer.minRetentionMs);
  }
}
