import { Incarnations, type LogPosition } from "@cranetrack/core/configuration/incarnation.js";
import type { Cursor } from "./cursor.js";

/**
 * How a reader continues in a stream's present incarnation. `continue`: after a cursor in it; `readLog`: the reader
 * must first read the rest of the log from before it; `wait`: the incarnation is older than what was read, so a newer
 * one is expected; `lost`: it can't be determined which messages the reader has missed.
 */
export type NextIncarnation =
  | { readonly kind: "continue"; readonly cursor: Cursor }
  | { readonly kind: "readLog"; readonly cursor: Cursor; readonly until: number }
  | { readonly kind: "wait" }
  | { readonly kind: "lost" };

/** A stream's present incarnation; its first available message is the one after `low`. */
export interface PresentIncarnation {
  readonly stream: string;
  readonly incarnation: string;
  readonly low: number;
}

/**
 * Decides where a reader continues that has read up to a cursor of another incarnation. However often a stream has
 * changed between log and memory, the reader gets all messages of the log, in order and once. Pure.
 */
export function nextIncarnation(read: Cursor, present: PresentIncarnation): NextIncarnation {
  const { stream, incarnation, low } = present;
  const readPosition = Incarnations.logPosition(read.incarnation, read.seq);
  const noLog = Incarnations.noLogIdentity(stream);
  if (Incarnations.isInMemory(incarnation)) {
    const base = Incarnations.logPosition(incarnation, 0)!;
    return nextInMemory(readPosition, base, noLog, { incarnation, seq: low });
  }
  const log = Incarnations.logPosition(incarnation, 0);
  if (readPosition === undefined || log === undefined) return { kind: "lost" };
  if (readPosition.identity === log.identity)
    return { kind: "continue", cursor: { incarnation, seq: readPosition.seq } };
  if (readPosition.identity === noLog) return { kind: "continue", cursor: { incarnation, seq: 0 } };
  return { kind: "lost" };
}

/** Messages in memory carry no promise, so none of them count as lost; but the log from before is read first. */
function nextInMemory(
  readPosition: LogPosition | undefined,
  base: LogPosition,
  noLog: string,
  start: Cursor,
): NextIncarnation {
  if (readPosition === undefined || base.identity === noLog) return { kind: "continue", cursor: start };
  // A log with another identity was created after everything that was read.
  const readSeq = readPosition.identity === base.identity ? readPosition.seq : 0;
  if (readSeq > base.seq) return { kind: "wait" };
  if (readSeq === base.seq) return { kind: "continue", cursor: start };
  const incarnation = Incarnations.inLog(base.identity);
  return { kind: "readLog", cursor: { incarnation, seq: readSeq }, until: base.seq };
}
