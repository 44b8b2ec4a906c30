import type { MessageInitShape } from "@bufbuild/protobuf";
import { Configurations } from "@cranetrack/core/configuration/configuration.js";
import type { TrimStreamSchema } from "@cranetrack/core/gen/cranetrack_pb.js";
import type { ClusterNode } from "@cranetrack/core/runtime/clusterNode.js";
import { repeatWindowMs } from "@cranetrack/core/runtime/repeatWindow.js";
import type { LeaderAuthority } from "./leaderAuthority.js";
import type { ServedStreams } from "./servedStreams.js";
import type { ShardLeader } from "./shardLeader.js";
import type { StreamLog } from "./streamLog.js";
import type { LogStatus } from "./streamStatuses.js";
import type { Replica } from "../replication/replica.js";

/** What a trim command removes of one stream. */
type StreamTrim = MessageInitShape<typeof TrimStreamSchema>;

interface StreamTrimmerParts {
  node: ClusterNode;
  replica: Replica;
  leader: ShardLeader;
  authority: LeaderAuthority;
  streams: ServedStreams;
  /** Whether an edge follows the stream: followed streams in memory stay, even if nothing is published. */
  isFollowed: (stream: string) => boolean;
}

/**
 * Removes what no contract keeps any more: from memory once a second; from the replicated log by a command every 5 s,
 * and at once if a space that is one stream was removed. The streams of topics that no contract covers stay for as long
 * as their messages were promised to be kept: their spaces may be back by then.
 * Invariant: at most one trim command of this leader is in progress.
 */
export class StreamTrimmer {
  /** Messages stay for at least this many milliseconds, whatever the contract says. */
  static readonly minRetentionMs = 45_000;
  /** A session's numbers in a topic stay known for this many milliseconds after the last of them. */
  static readonly sessionRetentionMs = 600_000;
  /** Interval in ms of trims in memory. */
  static readonly memoryIntervalMs = 1000;
  /** Interval in ms of trims of the replicated log. */
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
  /** Shard time since which no contract covers the stream, by stream; each leader starts counting anew. */
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
      this.#streams.memory.expire(
        shardTime,
        StreamTrimmer.sessionRetentionMs,
        this.#numberRetentionMs,
        this.#isFollowed,
      );
    }
    if (now - this.#logTrimmedAt < StreamTrimmer.logIntervalMs) return;
    this.#logTrimmedAt = now;
    void this.trimLog();
  }

  /** Proposes one command for everything that the log no longer has to keep; does nothing while one is in progress. */
  async trimLog(): Promise<void> {
    if (!this.#authority.isAuthorized || this.#isTrimming) return;
    const { state } = this.#replica;
    const at = this.#leader.shardTime;
    const streams = [...state.streams.values()].flatMap((log) => this.#trimFor(log, at) ?? []);
    const forgetBefore = Math.max(0, at - StreamTrimmer.sessionRetentionMs);
    const forgetNumbersBefore = Math.max(0, at - this.#numberRetentionMs);
    const hasForgettable = state.hasSessionsBefore(forgetBefore) || state.hasNumbersBefore(forgetNumbersBefore);
    if (streams.length === 0 && !hasForgettable) return;
    this.#isTrimming = true;
    await this.#leader.propose({ case: "trim", value: { streams, at, forgetBefore, forgetNumbersBefore } });
    this.#isTrimming = false;
  }

  /** How long numbers stay known after they were taken, in ms. */
  get #numberRetentionMs(): number {
    return repeatWindowMs(this.#node.parts.settings);
  }

  /** The trim of one stream; undefined if there is nothing to remove. */
  #trimFor(log: StreamLog, at: number): StreamTrim | undefined {
    const { stream, incarnation } = log;
    const status = this.#streams.statuses.ofLog(log);
    if (status === "ended" || this.#isRetentionOver(log, status, at)) return { stream, incarnation, isRemoved: true };
    const isKept = status === "current" && !this.#streams.statuses.isInMemory(stream);
    const firstKept = log.messages.findIndex((message) => {
      return message.at >= at - (isKept ? this.#retentionMs(message.topic) : StreamTrimmer.#promisedMs(log));
    });
    const low = firstKept === -1 ? log.head : log.messages[firstKept]!.seq - 1;
    return low > log.low ? { stream, incarnation, low } : undefined;
  }

  /** Whether no contract has covered the stream for as long as the last one promised to keep its messages. */
  #isRetentionOver(log: StreamLog, status: LogStatus, at: number): boolean {
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
