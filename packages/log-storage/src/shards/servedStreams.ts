import type { Publish } from "@cranetrack/core/gen/cranetrack_pb.js";
import { Incarnations, type LogPosition } from "@cranetrack/core/configuration/incarnation.js";
import { Streams, type StreamRoute } from "@cranetrack/core/configuration/streams.js";
import { Rendezvous } from "@cranetrack/core/membership/rendezvous.js";
import type { ClusterNode } from "@cranetrack/core/runtime/clusterNode.js";
import { MemoryStreams } from "./memoryStreams.js";
import type { ShardLeader } from "./shardLeader.js";
import type { StreamLog, Verdict } from "./streamLog.js";
import { StreamStatuses } from "./streamStatuses.js";
import type { Replica } from "../replication/replica.js";

/**
 * The streams that a shard's leader serves: those of the replicated log, and those that it keeps in memory alone. Owns
 * the latter, and the creation of incarnations.
 */
export class ServedStreams {
  readonly statuses: StreamStatuses;
  readonly memory: MemoryStreams;
  readonly #node: ClusterNode;
  readonly #replica: Replica;
  readonly #leader: ShardLeader;
  /** By stream: incarnations proposed and not yet committed; whoever needs one meanwhile waits for the same. */
  readonly #creating = new Map<string, Promise<void>>();

  constructor(node: ClusterNode, replica: Replica, leader: ShardLeader) {
    this.#node = node;
    this.#replica = replica;
    this.#leader = leader;
    this.statuses = new StreamStatuses(node);
    this.memory = new MemoryStreams(() => node.parts.random.identity());
  }

  /** Whether the stream hashes into this shard. */
  isOwn(stream: string): boolean {
    return Rendezvous.shardOf(stream, this.#node.parts.settings.shards) === this.#replica.shard;
  }

  /** The stream where the configuration in force keeps it: in memory or in the log. */
  find(stream: string): StreamLog | undefined {
    return this.statuses.isInMemory(stream) ? this.memory.find(stream) : this.#replica.state.streams.get(stream);
  }

  /** Whether the configuration in force has no such stream, or another incarnation of its space. */
  isOver(stream: string): boolean {
    const route = this.statuses.routeOfStream(stream);
    if (route === undefined) return true;
    if (route.spaceIncarnation === 0) return false;
    const log = this.findInLog(stream);
    return this.statuses.isInMemory(stream)
      ? this.memory.find(stream) !== undefined && this.memory.findCurrent(stream, route.spaceIncarnation) === undefined
      : log !== undefined && this.statuses.ofLog(log) === "ended";
  }

  /** What the replicated log has of the stream, also where the configuration in force keeps it in memory. */
  findInLog(stream: string): StreamLog | undefined {
    return this.#replica.state.streams.get(stream);
  }

  /** The log with this incarnation of the stream, wherever the configuration keeps the stream now. */
  findIncarnation(stream: string, incarnation: string): StreamLog | undefined {
    const logs = [this.#replica.state.streams.get(stream), this.memory.find(stream)];
    return logs.find((log) => log !== undefined && Incarnations.isSame(log.incarnation, incarnation));
  }

  /**
   * The verdict on a number that the stream knows already, in the same incarnation of its space: also on one that it
   * took while the configuration kept it elsewhere.
   */
  knownVerdict({ stream, spaceIncarnation }: StreamRoute, { topic, session, number }: Publish): Verdict | undefined {
    const log = this.#replica.state.streams.get(stream);
    const isSameLog = spaceIncarnation === 0 || log?.spaceIncarnation === spaceIncarnation;
    const inLog = (): Verdict | undefined => (isSameLog ? log?.known(topic, session, number) : undefined);
    const memory = this.memory.numbersOf(stream, spaceIncarnation);
    const inMemory = (): Verdict | undefined => memory?.known(topic, session, number);
    return this.statuses.isInMemory(stream) ? (inMemory() ?? inLog()) : (inLog() ?? inMemory());
  }

  /**
   * The stream's incarnation where the configuration in force keeps it, made where there was none of this incarnation
   * of its space; undefined where it could not be.
   */
  async incarnationOf({ stream, spaceIncarnation }: StreamRoute): Promise<string | undefined> {
    if (this.statuses.isInMemory(stream)) return this.#incarnationInMemory(stream, spaceIncarnation);
    const { streams } = this.#replica.state;
    let creation = this.#creating.get(stream);
    if (creation === undefined && !ServedStreams.#isCurrent(streams.get(stream), spaceIncarnation))
      creation = this.#create(stream, Streams.incarnation(spaceIncarnation, this.#node.parts.random.identity()));
    if (creation !== undefined) await creation;
    const log = streams.get(stream);
    return ServedStreams.#isCurrent(log, spaceIncarnation) ? log!.incarnation : undefined;
  }

  /** One in memory begins behind all that this leader has proposed to the stream's log. */
  async #incarnationInMemory(stream: string, spaceIncarnation: number): Promise<string | undefined> {
    const at = this.#leader.shardTime;
    const current = this.memory.findCurrent(stream, spaceIncarnation);
    if (current !== undefined) {
      this.memory.touch(stream, at);
      return current.incarnation;
    }
    const log = this.#replica.state.streams.get(stream);
    const creation = this.#creating.get(stream);
    if (creation !== undefined) await creation;
    else if (log !== undefined && this.#leader.pendingCount > 0) await this.#create(stream, log.incarnation);
    if (!this.statuses.isInMemory(stream)) return undefined;
    return this.memory.findOrCreate(stream, spaceIncarnation, this.#logEnd(stream), at)?.incarnation;
  }

  #logEnd(stream: string): LogPosition {
    const log = this.#replica.state.streams.get(stream);
    const end = log === undefined ? undefined : Incarnations.logPosition(log.incarnation, log.head);
    return end ?? { identity: Incarnations.noLogIdentity(stream), seq: 0 };
  }

  /** Whoever waits for it waits for all that was proposed before, also where the log has this incarnation already. */
  #create(stream: string, incarnation: string): Promise<void> {
    const value = { stream, incarnation, at: this.#leader.shardTime };
    // Who comes when it was just made still waits behind those that have waited for it: in a stream's order of
    // arrival.
    const forget = (): void => void this.#creating.delete(stream);
    const creation = this.#leader
      .propose({ case: "createStream", value })
      .then(() => void this.#node.parts.clock.once(0, forget));
    this.#creating.set(stream, creation);
    return creation;
  }

  /** A topic's own stream is the same for good; that of a whole space begins anew with the space's incarnations. */
  static #isCurrent(log: StreamLog | undefined, spaceIncarnation: number): boolean {
    return log !== undefined && (spaceIncarnation === 0 || log.spaceIncarnation === spaceIncarnation);
  }
}
