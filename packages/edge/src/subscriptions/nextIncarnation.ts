import { Incarnations, type LogPosition } from "@cranetrack/core/configuration/incarnation.js";
import type { Cursor } from "./cursor.js";

/**
 * How a reader goes on in a stream's present incarnation: `continue` from a cursor in it; `readLog` first, the rest of
 * what was kept before; `wait`, as the incarnation is older than what was read; or `lost`, as nothing tells what it has
 * missed.
 */
export type NextIncarnation =
  | { readonly kind: "continue"; readonly cursor: Cursor }
  | { readonly kind: "readLog"; readonly cursor: Cursor; readonly until: number }
  | { readonly kind: "wait" }
  | { readonly kind: "lost" };

/** A stream's present incarnation, and the first message that there is of it is after `low`. */
export interface PresentIncarnation {
  readonly stream: string;
  readonly incarnation: string;
  readonly low: number;
}

/**
 * Where a reader goes on that has read up to a cursor of another incarnation. Whatever a stream is kept in, and however
 * often that has changed, all that the log has taken is read, in order and once. Pure.
 */
export function nextIncarnation(read: Cursor, present: PresentIncarnation): NextIncarnation {
  const { stream, incarnation, low } = present;
  const position = Incarnations.logPosition(read.incarnation, read.seq);
  const noLog = Incarnations.noLogIdentity(stream);
  if (Incarnations.isInMemory(incarnation)) {
    const base = Incarnations.logPosition(incarnation, 0)!;
    return nextInMemory(position, base, noLog, { incarnation, seq: low });
  }
  const log = Incarnations.logPosition(incarnation, 0);
  if (position === undefined || log === undefined) return { kind: "lost" };
  if (position.identity === log.identity) return { kind: "continue", cursor: { incarnation, seq: position.seq } };
  if (position.identity === noLog) return { kind: "continue", cursor: { incarnation, seq: 0 } };
  return { kind: "lost" };
}

/** In memory nothing is kept, so that nothing of it is lost; but what its log took before comes first. */
function nextInMemory(
  position: LogPosition | undefined,
  base: LogPosition,
  noLog: string,
  start: Cursor,
): NextIncarnation {
  if (position === undefined || base.identity === noLog) return { kind: "continue", cursor: start };
  // A log of another identity was made after all that was read.
  const readSeq = position.identity === base.identity ? position.seq : 0;
  if (readSeq > base.seq) return { kind: "wait" };
  if (readSeq === base.seq) return { kind: "continue", cursor: start };
  const incarnation = Incarnations.inLog(base.identity);
  return { kind: "readLog", cursor: { incarnation, seq: readSeq }, until: base.seq };
}
