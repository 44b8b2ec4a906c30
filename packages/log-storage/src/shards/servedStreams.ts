import type { Publish } from "@cranetrack/core/gen/cranetrack_pb.js";
import { Streams } from "@cranetrack/core/configuration/streams.js";
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

  /** The verdict on a number that the stream knows already, in the same incarnation of its space. */
  knownVerdict(stream: string, spaceIncarnation: number, { topic, session, number }: Publish): Verdict | undefined {
    const log = this.find(stream);
    return log?.spaceIncarnation === spaceIncarnation ? log.known(topic, session, number) : undefined;
  }

  /**
   * The stream's incarnation, made where there was none of this incarnation of its space; undefined where it could not
   * be.
   */
  async incarnationOf(stream: string, spaceIncarnation: number): Promise<string | undefined> {
    if (this.statuses.isInMemory(stream))
      return this.memory.findOrCreate(stream, spaceIncarnation, this.#leader.shardTime)?.incarnation;
    const { streams } = this.#replica.state;
    let creation = this.#creating.get(stream);
    if (creation === undefined && (streams.get(stream)?.spaceIncarnation ?? 0) < spaceIncarnation)
      creation = this.#create(stream, spaceIncarnation);
    if (creation !== undefined) await creation;
    const log = streams.get(stream);
    return log?.spaceIncarnation === spaceIncarnation ? log.incarnation : undefined;
  }

  #create(stream: string, spaceIncarnation: number): Promise<void> {
    const value = {
      stream,
      incarnation: Streams.incarnation(spaceIncarnation, this.#node.parts.random.identity()),
      at: this.#leader.shardTime,
    };
    // Who comes when it was just made still waits behind those that have waited for it: in a stream's order of
    // arrival.
    const forget = (): void => void this.#creating.delete(stream);
    const creation = this.#leader
      .propose({ case: "createStream", value })
      .then(() => void this.#node.parts.clock.once(0, forget));
    this.#creating.set(stream, creation);
    return creation;
  }
}
