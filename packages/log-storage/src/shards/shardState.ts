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
 * The state that results from a shard's committed log. Deterministic, and it alone decides what was sent twice.
 * Invariant: a stream is never replaced by one of an earlier incarnation of its space.
 */
export class ShardState {
  /** By the name of the stream. */
  readonly streams = new Map<string, StreamLog>();
  /** Shard time in ms: rises with the entries, and stands still while the shard has no leader. */
  shardTime = 0;

  /** The size of the payloads of all messages, in bytes. */
  get payloadBytes(): number {
    let bytes = 0;
    for (const { messages } of this.streams.values()) for (const { payload } of messages) bytes += payload.length;
    return bytes;
  }

  /** The verdict on a number that the committed log has already seen; undefined for any other. */
  findVerdict(stream: string, topic: string, session: string, number: number): Verdict | undefined {
    return this.streams.get(stream)?.findVerdict(topic, session, number);
  }

  /** Applies the next committed command; returns the verdict if it is an accept. */
  apply(data: Uint8Array): Verdict | undefined {
    const { command } = decodeMessage(ShardCommandSchema, data);
    return this.#apply(command);
  }

  /** The whole state, for compaction and for replicas that are too far behind. */
  snapshot(): Uint8Array {
    const streams = [...this.streams.values()].map((log) => log.snapshot());
    return toBinary(ShardSnapshotSchema, create(ShardSnapshotSchema, { streams, at: this.shardTime }));
  }

  /**
   * Makes the payloads views of a snapshot of this very state, which is kept in memory anyway: the buffers that they
   * came in are freed.
   */
  sharePayloads(snapshot: Uint8Array): void {
    for (const { stream, messages } of fromBinary(ShardSnapshotSchema, snapshot).streams) {
      const ownMessages = this.streams.get(stream)!.messages;
      messages.forEach(({ payload }, i) => (ownMessages[i]!.payload = payload));
    }
  }

  /** Whether the bytes are a valid snapshot; checked before the snapshot replaces anything. */
  static isReadable(snapshot: Uint8Array): boolean {
    try {
      return fromBinary(ShardSnapshotSchema, snapshot).at >= 0;
    } catch {
      return false;
    }
  }

  /** Replaces the whole state; throws if the snapshot is unreadable, see `isReadable`. */
  install(snapshot: Uint8Array): void {
    const decoded = fromBinary(ShardSnapshotSchema, snapshot);
    this.streams.clear();
    this.shardTime = decoded.at;
    for (const streamSnapshot of decoded.streams)
      this.streams.set(streamSnapshot.stream, StreamLog.from(streamSnapshot));
  }

  /** Whether any session's last number was accepted before a shard time; checked before each trim. */
  hasSessionsBefore(at: number): boolean {
    for (const log of this.streams.values()) if (log.hasSessionsBefore(at)) return true;
    return false;
  }

  /** Whether any number was taken before a shard time and can be forgotten. */
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
    this.shardTime = Math.max(this.shardTime, at);
    const log = this.streams.get(stream);
    if (log === undefined || log.spaceIncarnation < Streams.spaceIncarnationOf(incarnation))
      this.streams.set(stream, new StreamLog(stream, incarnation));
    return undefined;
  }

  #accept(accept: Accept): Verdict {
    this.shardTime = Math.max(this.shardTime, accept.at);
    const log = this.streams.get(accept.stream);
    if (log === undefined || log.incarnation !== accept.incarnation)
      return { kind: "unknown", reason: "the topic was removed meanwhile" };
    return log.accept(accept);
  }

  #trim(trim: Trim): undefined {
    this.shardTime = Math.max(this.shardTime, trim.at);
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
