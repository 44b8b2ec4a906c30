import type { Accept } from "@cranetrack/core/gen/cranetrack_pb.js";
import { Incarnations, type LogPosition } from "@cranetrack/core/configuration/incarnation.js";
import { StreamLog, type Verdict } from "./streamLog.js";

interface MemoryStream {
  log: StreamLog;
  /** As the stream's route has it. */
  spaceIncarnation: number;
  /** Shard time since which no space has it, or its messages go into the log: its numbers stay known for a while. */
  retiredAt: number | undefined;
  /** Shard time at which this leader made it. */
  createdAt: number;
  /** Shard time of the last use. */
  usedAt: number;
}

/**
 * The streams of one led shard whose spaces keep nothing: sequenced by the leader alone, on no disk.
 * Invariants: an incarnation lives as long as this leader at most; messages are trimmed only by `trim`, so what one
 * event-loop turn accepted is still there to be pushed; a stream is never replaced by one of an earlier incarnation of
 * its space; a number that was taken stays known for as long as it may be repeated, wherever the stream is kept then.
 */
export class MemoryStreams {
  /** The tail that stays for edges that missed a push. */
  static readonly maxKept = 200;
  static readonly maxBytes = 2 * 1024 * 1024;
  static readonly retentionMs = 10_000;
  /** A publisher repeats a number for no longer than this after it first sent it. */
  static readonly repeatMs = 12_000;

  readonly #randomIdentity: () => string;
  readonly #streams = new Map<string, MemoryStream>();

  constructor(randomIdentity: () => string) {
    this.#randomIdentity = randomIdentity;
  }

  /** How many streams are sequenced in memory alone. */
  get count(): number {
    return this.all().length;
  }

  /** Undefined where nobody has used the stream under this leader, or not for long. */
  find(stream: string): StreamLog | undefined {
    const kept = this.#streams.get(stream);
    return kept?.retiredAt === undefined ? kept?.log : undefined;
  }

  /** The stream in this incarnation of its space. */
  findCurrent(stream: string, spaceIncarnation: number): StreamLog | undefined {
    return this.#streams.get(stream)?.spaceIncarnation === spaceIncarnation ? this.find(stream) : undefined;
  }

  /** Every stream that is sequenced here, in the order in which they were created. */
  all(): StreamLog[] {
    return [...this.#streams.values()].filter(({ retiredAt }) => retiredAt === undefined).map(({ log }) => log);
  }

  /**
   * The stream, made where there was none of this incarnation of its space; undefined where there is a later one. It
   * begins where its log stands, and goes on where it stood if the log has taken nothing since.
   */
  findOrCreate(stream: string, spaceIncarnation: number, base: LogPosition, at: number): StreamLog | undefined {
    const kept = this.#streams.get(stream);
    if (kept !== undefined && kept.spaceIncarnation > spaceIncarnation) return undefined;
    if (kept?.spaceIncarnation === spaceIncarnation) {
      if (kept.retiredAt !== undefined) this.#resume(kept, base);
      kept.usedAt = Math.max(kept.usedAt, at);
      return kept.log;
    }
    const log = new StreamLog(stream, Incarnations.inMemory(base, this.#randomIdentity()));
    this.#streams.set(stream, { log, spaceIncarnation, retiredAt: undefined, createdAt: at, usedAt: at });
    return log;
  }

  /** Notes that the stream is used. */
  touch(stream: string, at: number): void {
    const kept = this.#streams.get(stream);
    if (kept !== undefined) kept.usedAt = Math.max(kept.usedAt, at);
  }

  /** The stream's numbers, also where it is sequenced elsewhere by now; in the same incarnation of its space. */
  numbersOf(stream: string, spaceIncarnation: number): Pick<StreamLog, "known"> | undefined {
    const kept = this.#streams.get(stream);
    return kept?.spaceIncarnation === spaceIncarnation ? kept.log : undefined;
  }

  /**
   * Whether numbers may still arrive that an earlier leader of the stream took. Which ones it took died with it, so
   * nothing is known here of a number that this leader did not take.
   */
  mayHavePredecessor(stream: string, at: number): boolean {
    const kept = this.#streams.get(stream);
    return kept !== undefined && at - kept.createdAt < MemoryStreams.repeatMs;
  }

  /** Sequences a message, or repeats the verdict on its number. */
  accept(accept: Accept): Verdict {
    const log = this.find(accept.stream);
    if (log === undefined || log.incarnation !== accept.incarnation)
      return { kind: "refused", code: "topic-gone", reason: "the topic was removed meanwhile" };
    return log.accept(accept);
  }

  /** Drops from these streams what is beyond the tail. Called once everything was pushed. */
  trim(streams: Iterable<string>): void {
    for (const stream of streams) {
      const log = this.find(stream);
      // In steps, so that a busy stream is not copied at every message.
      if (log !== undefined && (log.messages.length > 2 * MemoryStreams.maxKept || MemoryStreams.#isLarge(log)))
        MemoryStreams.#trimTail(log, -Infinity);
    }
  }

  /** Drops what is old, and streams that nobody has used for long. */
  expire(at: number, forgetMs: number, redeliveryMs: number, isFollowed: (stream: string) => boolean): void {
    for (const [stream, { log, usedAt, retiredAt = Infinity }] of this.#streams) {
      if (at - retiredAt > redeliveryMs) {
        this.#streams.delete(stream);
        continue;
      }
      MemoryStreams.#trimTail(log, at - MemoryStreams.retentionMs);
      log.forgetNumbers(at - redeliveryMs);
      if (log.hasSessionsBefore(at - forgetMs)) log.forgetSessions(at - forgetMs);
      if (log.knownCount === 0 && at - usedAt > forgetMs && !isFollowed(stream)) this.#streams.delete(stream);
    }
  }

  /** The stream's space was removed, or it goes on in the log: what was sent before stays known for a while. */
  retire(stream: string, at: number): void {
    const kept = this.#streams.get(stream);
    if (kept !== undefined) kept.retiredAt ??= at;
  }

  #resume(kept: MemoryStream, base: LogPosition): void {
    kept.retiredAt = undefined;
    const position = Incarnations.logPosition(kept.log.incarnation, 0);
    if (position?.identity === base.identity && position.seq === base.seq) return;
    kept.log = kept.log.emptied(Incarnations.inMemory(base, this.#randomIdentity()));
  }

  static #trimTail(log: StreamLog, before: number): void {
    const { messages } = log;
    let kept = 0;
    let bytes = 0;
    while (kept < messages.length && kept < MemoryStreams.maxKept) {
      const message = messages[messages.length - 1 - kept]!;
      bytes += message.payload.length;
      if (message.at < before || bytes > MemoryStreams.maxBytes) break;
      kept += 1;
    }
    log.trim(log.head - kept);
  }

  /** Looked at in steps as well: only streams of large payloads come near it. */
  static #isLarge({ messages }: StreamLog): boolean {
    const last = messages.at(-1);
    return last !== undefined && messages.length * last.payload.length > 2 * MemoryStreams.maxBytes;
  }
}
