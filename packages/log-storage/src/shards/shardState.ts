import { create, fromBinary, toBinary } from "@bufbuild/protobuf";
import {
  ShardCommandSchema,
  ShardSnapshotSchema,
  type Accept,
  type CreateStream,
  type ShardCommand,
  type Trim,
} from "@cranetrack/core/gen/cranetrack_pb.js";
import { decodeMessage } from "@cranetrack/core/rpc/codec.js";
import { Streams } from "@cranetrack/core/configuration/streams.js";
import { StreamLog, type Verdict } from "./streamLog.js";

/**
 * What a shard's committed log says. Deterministic, and the only one to decide what was sent twice.
 * Invariant: a stream is never replaced by one of an earlier incarnation of its space.
 */
export class ShardState {
  readonly streams = new Map<string, StreamLog>();
  /** Shard time: rises with the entries, and stands still while nobody leads the shard. */
  at = 0;

  /** The verdict on a number that the committed log already knows. */
  known(stream: string, topic: string, session: string, number: number): Verdict | undefined {
    return this.streams.get(stream)?.known(topic, session, number);
  }

  /** Applies the next committed command; gives the verdict where it was an accept. */
  apply(data: Uint8Array): Verdict | undefined {
    const { command } = decodeMessage(ShardCommandSchema, data);
    return this.#apply(command);
  }

  /** All of the state, for compaction and for replicas that lack too much. */
  snapshot(): Uint8Array {
    const streams = [...this.streams.values()].map((log) => log.snapshot());
    return toBinary(ShardSnapshotSchema, create(ShardSnapshotSchema, { streams, at: this.at }));
  }

  /** Whether the bytes are a snapshot: asked before anything is replaced by it. */
  static isReadable(snapshot: Uint8Array): boolean {
    try {
      return fromBinary(ShardSnapshotSchema, snapshot).at >= 0;
    } catch {
      return false;
    }
  }

  /** Replaces all of the state; throws if the snapshot is unreadable, see `isReadable`. */
  install(snapshot: Uint8Array): void {
    const read = fromBinary(ShardSnapshotSchema, snapshot);
    this.streams.clear();
    this.at = read.at;
    for (const one of read.streams) this.streams.set(one.stream, StreamLog.from(one));
  }

  /** Whether there is something to forget of before a shard time; asked before each trim. */
  hasSessionsBefore(at: number): boolean {
    for (const log of this.streams.values()) if (log.hasSessionsBefore(at)) return true;
    return false;
  }

  /** Whether there are numbers to forget of before a shard time. */
  hasNumbersBefore(at: number): boolean {
    for (const log of this.streams.values()) if (log.hasNumbersBefore(at)) return true;
    return false;
  }

  #apply(command: ShardCommand["command"]): Verdict | undefined {
    if (command.case === "accept") return this.#accept(command.value);
    if (command.case === "trim") return this.#trim(command.value);
    if (command.case === "createStream") return this.#createStream(command.value);
    return undefined;
  }

  #createStream({ stream, incarnation, at }: CreateStream): undefined {
    this.at = Math.max(this.at, at);
    const log = this.streams.get(stream);
    if (log === undefined || log.spaceIncarnation < Streams.spaceIncarnationOf(incarnation))
      this.streams.set(stream, new StreamLog(stream, incarnation));
    return undefined;
  }

  #accept(accept: Accept): Verdict {
    this.at = Math.max(this.at, accept.at);
    const log = this.streams.get(accept.stream);
    if (log === undefined || log.incarnation !== accept.incarnation)
      return { kind: "refused", code: "topic-gone", reason: "the topic was removed meanwhile" };
    return log.accept(accept);
  }

  #trim(trim: Trim): undefined {
    this.at = Math.max(this.at, trim.at);
    for (const { stream, low, isRemoved, incarnation } of trim.streams) {
      const log = this.streams.get(stream);
      if (log?.incarnation !== incarnation) continue;
      if (isRemoved) this.streams.delete(stream);
      else log.trim(low);
    }
    for (const log of this.streams.values()) {
      log.forgetSessions(trim.forgetBefore);
      log.forgetNumbers(trim.forgetNumbersBefore);
    }
    return undefined;
  }
}
