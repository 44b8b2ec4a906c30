import type { Publish } from "@cranetrack/core/gen/cranetrack_pb.js";
import { Incarnations, type LogPosition } from "@cranetrack/core/configuration/incarnation.js";
import { Streams, type StreamRoute } from "@cranetrack/core/configuration/streams.js";
import { Rendezvous } from "@cranetrack/core/membership/rendezvous.js";
import type { ClusterNode } from "@cranetrack/core/runtime/clusterNode.js";
import { repeatWindowMs } from "@cranetrack/core/runtime/repeatWindow.js";
import { MemoryStreams } from "./memoryStreams.js";
import type { ShardLeader } from "./shardLeader.js";
import type { StreamLog, Verdict } from "./streamLog.js";
import { StreamStatuses } from "./streamStatuses.js";
import type { Replica } from "../replication/replica.js";

/**
 * The streams that a shard's leader serves: those of the replicated log, and those that it keeps in memory alone. Owns
 * the latter, and creates incarnations.
 */
export class ServedStreams {
  readonly statuses: StreamStatuses;
  readonly memory: MemoryStreams;
  readonly #node: ClusterNode;
  readonly #replica: Replica;
  readonly #leader: ShardLeader;
  /** Incarnations that are proposed and not committed yet, by stream; concurrent callers wait for the same one. */
  readonly #pendingCreations = new Map<string, Promise<void>>();

  constructor(node: ClusterNode, replica: Replica, leader: ShardLeader) {
    this.#node = node;
    this.#replica = replica;
    this.#leader = leader;
    this.statuses = new StreamStatuses(node);
    this.memory = new MemoryStreams(() => node.parts.random.identity(), repeatWindowMs(node.parts.settings));
  }

  /** Whether the stream hashes into this shard. */
  isInThisShard(stream: string): boolean {
    return Rendezvous.shardOf(stream, this.#node.parts.settings.shards) === this.#replica.shard;
  }

  /** The stream's log where the configuration in force keeps it: in memory or in the replicated log. */
  find(stream: string): StreamLog | undefined {
    return this.statuses.isInMemory(stream) ? this.memory.find(stream) : this.#replica.state.streams.get(stream);
  }

  /** Whether the configuration in force has no such stream, or has it in another incarnation of its space. */
  isEnded(stream: string): boolean {
    const route = this.statuses.routeOfStream(stream);
    if (route === undefined) return true;
    if (route.spaceIncarnation === 0) return false;
    const log = this.findInLog(stream);
    return this.statuses.isInMemory(stream)
      ? this.memory.find(stream) !== undefined && this.memory.findCurrent(stream, route.spaceIncarnation) === undefined
      : log !== undefined && this.statuses.ofLog(log) === "ended";
  }

  /** The stream's replicated log, also if the configuration in force keeps the stream in memory. */
  findInLog(stream: string): StreamLog | undefined {
    return this.#replica.state.streams.get(stream);
  }

  /** The log with this incarnation of the stream, wherever the configuration keeps the stream now. */
  findByIncarnation(stream: string, incarnation: string): StreamLog | undefined {
    const logs = [this.#replica.state.streams.get(stream), this.memory.find(stream)];
    return logs.find((log) => log !== undefined && Incarnations.isSame(log.incarnation, incarnation));
  }

  /**
   * The verdict on a number that the stream already knows in this incarnation of its space, also if it was taken while
   * the configuration kept the stream elsewhere.
   */
  knownVerdict({ stream, spaceIncarnation }: StreamRoute, { topic, session, number }: Publish): Verdict | undefined {
    const log = this.#replica.state.streams.get(stream);
    const isSameLog = spaceIncarnation === 0 || log?.spaceIncarnation === spaceIncarnation;
    const inLog = (): Verdict | undefined => (isSameLog ? log?.findVerdict(topic, session, number) : undefined);
    const memory = this.memory.numbersOf(stream, spaceIncarnation);
    const inMemory = (): Verdict | undefined => memory?.findVerdict(topic, session, number);
    return this.statuses.isInMemory(stream) ? (inMemory() ?? inLog()) : (inLog() ?? inMemory());
  }

  /**
   * The stream's incarnation where the configuration in force keeps it, created if there is none of this incarnation of
   * its space; undefined if that failed.
   */
  async ensureIncarnation({ stream, spaceIncarnation }: StreamRoute): Promise<string | undefined> {
    if (this.statuses.isInMemory(stream)) return this.#ensureMemoryIncarnation(stream, spaceIncarnation);
    const { streams } = this.#replica.state;
    let creation = this.#pendingCreations.get(stream);
    if (creation === undefined && !ServedStreams.#isCurrent(streams.get(stream), spaceIncarnation))
      creation = this.#proposeIncarnation(
        stream,
        Streams.incarnation(spaceIncarnation, this.#node.parts.random.identity()),
      );
    if (creation !== undefined) await creation;
    const log = streams.get(stream);
    return ServedStreams.#isCurrent(log, spaceIncarnation) ? log!.incarnation : undefined;
  }

  /** An incarnation in memory begins after everything that this leader has proposed to the stream's log. */
  async #ensureMemoryIncarnation(stream: string, spaceIncarnation: number): Promise<string | undefined> {
    const at = this.#leader.shardTime;
    const current = this.memory.findCurrent(stream, spaceIncarnation);
    if (current !== undefined) {
      this.memory.touch(stream, at);
      return current.incarnation;
    }
    const log = this.#replica.state.streams.get(stream);
    const creation = this.#pendingCreations.get(stream);
    if (creation !== undefined) await creation;
    else if (log !== undefined && this.#leader.pendingCount > 0)
      await this.#proposeIncarnation(stream, log.incarnation);
    if (!this.statuses.isInMemory(stream)) return undefined;
    return this.memory.findOrCreate(stream, spaceIncarnation, this.#logEnd(stream), at)?.incarnation;
  }

  /** The end of the stream's replicated log, or the position that stands for a log not created yet. */
  #logEnd(stream: string): LogPosition {
    const log = this.#replica.state.streams.get(stream);
    const end = log === undefined ? undefined : Incarnations.logPosition(log.incarnation, log.head);
    return end ?? { identity: Incarnations.noLogIdentity(stream), seq: 0 };
  }

  /**
   * Proposes an incarnation. The result resolves after everything that was proposed before, also if the log already has
   * this incarnation.
   */
  #proposeIncarnation(stream: string, incarnation: string): Promise<void> {
    const value = { stream, incarnation, at: this.#leader.shardTime };
    // A caller that comes just after the creation still waits behind the earlier ones, so that the stream keeps the
    // order of arrival.
    const removePending = (): void => void this.#pendingCreations.delete(stream);
    const creation = this.#leader
      .propose({ case: "createStream", value })
      .then(() => void this.#node.parts.clock.once(0, removePending));
    this.#pendingCreations.set(stream, creation);
    return creation;
  }

  /** A topic's own stream never changes; the stream of a whole space begins anew with each incarnation of the space. */
  static #isCurrent(log: StreamLog | undefined, spaceIncarnation: number): boolean {
    return log !== undefined && (spaceIncarnation === 0 || log.spaceIncarnation === spaceIncarnation);
  }
}
