import type { Accept } from "@cranetrack/core/gen/cranetrack_pb.js";
import { Incarnations, type LogPosition } from "@cranetrack/core/configuration/incarnation.js";
import { StreamLog, type Verdict } from "./streamLog.js";

/** A stream and the shard times, in ms, that decide how long it is remembered. */
interface MemoryStream {
  log: StreamLog;
  /** Incarnation of the stream's space, as in its route. */
  spaceIncarnation: number;
  /** Shard time since which no space has the stream or it goes on in the log; its numbers stay known for a while. */
  retiredAt: number | undefined;
  /** Shard time at which this leader created it. */
  createdAt: number;
  /** Shard time of the last use. */
  usedAt: number;
}

/**
 * The streams of one led shard whose spaces keep nothing: sequenced by the leader alone, on no disk.
 * Invariants: an incarnation lives at most as long as this leader; messages are trimmed only by `trim` and `expire`,
 * never by `accept`, so those that one event-loop turn accepted are still there to be pushed; a stream is never
 * replaced by one of an earlier incarnation of its space; a number that was taken stays known for as long as it may be
 * repeated, wherever the stream is kept by then.
 */
export class MemoryStreams {
  /** Messages that stay for edges that missed a push. */
  static readonly maxTailMessages = 200;
  /** Payload bytes that stay for edges that missed a push. */
  static readonly maxTailBytes = 2 * 1024 * 1024;
  /** Milliseconds for which messages stay for edges that missed a push. */
  static readonly tailRetentionMs = 10_000;

  readonly #randomIdentity: () => string;
  readonly #repeatWindowMs: number;
  readonly #streams = new Map<string, MemoryStream>();

  /** `repeatWindowMs`: how long after a publish number was first sent it may arrive again, in milliseconds. */
  constructor(randomIdentity: () => string, repeatWindowMs: number) {
    this.#randomIdentity = randomIdentity;
    this.#repeatWindowMs = repeatWindowMs;
  }

  /** Number of streams that are sequenced in memory alone. */
  get count(): number {
    return this.all().length;
  }

  /** The stream's log; undefined if the stream is retired, or has not been used under this leader lately. */
  find(stream: string): StreamLog | undefined {
    const entry = this.#streams.get(stream);
    return entry?.retiredAt === undefined ? entry?.log : undefined;
  }

  /** The stream's log in this incarnation of the stream's space; otherwise like `find`. */
  findCurrent(stream: string, spaceIncarnation: number): StreamLog | undefined {
    return this.#streams.get(stream)?.spaceIncarnation === spaceIncarnation ? this.find(stream) : undefined;
  }

  /** Every stream that is sequenced here, in the order in which they were created. */
  all(): StreamLog[] {
    return [...this.#streams.values()].filter(({ retiredAt }) => retiredAt === undefined).map(({ log }) => log);
  }

  /**
   * The stream's log, created if there is none of this incarnation of its space; undefined if there is one of a later
   * incarnation. It begins at the end of the replicated log, `base`; a retired one continues where it stopped if the
   * replicated log has taken nothing since.
   */
  findOrCreate(stream: string, spaceIncarnation: number, base: LogPosition, at: number): StreamLog | undefined {
    const entry = this.#streams.get(stream);
    if (entry !== undefined && entry.spaceIncarnation > spaceIncarnation) return undefined;
    if (entry?.spaceIncarnation === spaceIncarnation) {
      if (entry.retiredAt !== undefined) this.#resume(entry, base);
      entry.usedAt = Math.max(entry.usedAt, at);
      return entry.log;
    }
    const log = new StreamLog(stream, Incarnations.inMemory(base, this.#randomIdentity()));
    this.#streams.set(stream, { log, spaceIncarnation, retiredAt: undefined, createdAt: at, usedAt: at });
    return log;
  }

  /** Records that the stream is used at a shard time. */
  touch(stream: string, at: number): void {
    const entry = this.#streams.get(stream);
    if (entry !== undefined) entry.usedAt = Math.max(entry.usedAt, at);
  }

  /** The stream's known numbers in this incarnation of its space, also if the stream is sequenced elsewhere by now. */
  numbersOf(stream: string, spaceIncarnation: number): Pick<StreamLog, "findVerdict"> | undefined {
    const entry = this.#streams.get(stream);
    return entry?.spaceIncarnation === spaceIncarnation ? entry.log : undefined;
  }

  /**
   * Whether numbers may still arrive that an earlier leader of the stream took. Which numbers it took was lost with it,
   * so this leader knows nothing of a number that it did not take itself.
   */
  mayHavePredecessor(stream: string, at: number): boolean {
    const entry = this.#streams.get(stream);
    return entry !== undefined && at - entry.createdAt < this.#repeatWindowMs;
  }

  /** Sequences a message, or repeats the verdict on its number. */
  accept(accept: Accept): Verdict {
    const log = this.find(accept.stream);
    if (log === undefined || log.incarnation !== accept.incarnation)
      return { kind: "unknown", reason: "the topic was removed meanwhile" };
    return log.accept(accept);
  }

  /** Trims these streams to the tail that stays for edges that missed a push. Called after everything was pushed. */
  trim(streams: Iterable<string>): void {
    for (const stream of streams) {
      const log = this.find(stream);
      // Only at twice the limits, so that a busy stream is not copied at every message.
      if (log !== undefined && (log.messages.length > 2 * MemoryStreams.maxTailMessages || MemoryStreams.#isLarge(log)))
        MemoryStreams.#trimTail(log, -Infinity);
    }
  }

  /** Removes what is too old at the shard time `now`, and streams that have not been used for a long time. */
  expire(
    now: number,
    sessionRetentionMs: number,
    numberRetentionMs: number,
    isFollowed: (stream: string) => boolean,
  ): void {
    for (const [stream, { log, usedAt, retiredAt = Infinity }] of this.#streams) {
      if (now - retiredAt > numberRetentionMs) {
        this.#streams.delete(stream);
        continue;
      }
      MemoryStreams.#trimTail(log, now - MemoryStreams.tailRetentionMs);
      log.forgetNumbers(now - numberRetentionMs);
      if (log.hasSessionsBefore(now - sessionRetentionMs)) log.forgetSessions(now - sessionRetentionMs);
      if (log.sessionCount === 0 && now - usedAt > sessionRetentionMs && !isFollowed(stream))
        this.#streams.delete(stream);
    }
  }

  /**
   * Stops sequencing a stream whose space was removed or that goes on in the log; its numbers stay known for a while.
   */
  retire(stream: string, at: number): void {
    const entry = this.#streams.get(stream);
    if (entry !== undefined) entry.retiredAt ??= at;
  }

  #resume(entry: MemoryStream, base: LogPosition): void {
    entry.retiredAt = undefined;
    const position = Incarnations.logPosition(entry.log.incarnation, 0);
    if (position?.identity === base.identity && position.seq === base.seq) return;
    entry.log = entry.log.withoutMessages(Incarnations.inMemory(base, this.#randomIdentity()));
  }

  static #trimTail(log: StreamLog, before: number): void {
    const { messages } = log;
    let keptCount = 0;
    let bytes = 0;
    while (keptCount < messages.length && keptCount < MemoryStreams.maxTailMessages) {
      const message = messages[messages.length - 1 - keptCount]!;
      bytes += message.payload.length;
      if (message.at < before || bytes > MemoryStreams.maxTailBytes) break;
      keptCount += 1;
    }
    log.trim(log.head - keptCount);
  }

  /**
   * Estimates the size by the last payload. Checked against twice the limit as well: only streams of large payloads
   * come near it.
   */
  static #isLarge({ messages }: StreamLog): boolean {
    const last = messages.at(-1);
    return last !== undefined && messages.length * last.payload.length > 2 * MemoryStreams.maxTailBytes;
  }
}
