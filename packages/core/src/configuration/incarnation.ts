import { createHash } from "node:crypto";

/** A place in a stream's log: after its message `seq`. */
export interface LogPosition {
  /** The random part of the log's incarnation, or `noLogIdentity` for any log that is created later. */
  readonly identity: string;
  readonly seq: number;
}

const identityLength = 10;
const inLogPattern = /^[0-9a-f]{1,14}-([0-9a-f]{6,19})$/;
const inMemoryPattern = /^([0-9a-f]{1,14})-([0-9a-f]{10})[0-9a-f]{10}$/;

/**
 * The incarnations of a stream, as texts in cursors. A stream has one incarnation in the log, for as long as the log
 * has the stream, and one in the memory of each leader that sequences it while its space keeps nothing. The latter
 * contains its base, the end of the log at the time, so that every cursor is also a position in the log: its reader
 * continues there once the space keeps messages again. Pure functions.
 */
export const Incarnations = {
  /** The incarnation of a stream in a leader's memory that follows the log's position `base`. */
  inMemory(base: LogPosition, identity: string): string {
    return `${base.seq.toString(16)}-${base.identity}${identity.slice(0, identityLength)}`;
  },

  /** The text by which a log may be asked for when only its identity is known. */
  inLog(identity: string): string {
    return `1-${identity}`;
  },

  /** Whether the incarnation is one in the memory of a leader. */
  isInMemory(incarnation: string): boolean {
    return inMemoryPattern.test(incarnation);
  },

  /** Identity for the log of a stream that has none yet; every stream has its own. */
  noLogIdentity(stream: string): string {
    return createHash("sha256").update(stream).digest("hex").slice(0, identityLength);
  },

  /** The position in the log of a reader that has read up to `seq`; undefined if the text is no incarnation. */
  logPosition(incarnation: string, seq: number): LogPosition | undefined {
    const inLog = inLogPattern.exec(incarnation);
    if (inLog !== null) return { identity: inLog[1]!, seq };
    const inMemory = inMemoryPattern.exec(incarnation);
    return inMemory === null ? undefined : { identity: inMemory[2]!, seq: Number.parseInt(inMemory[1]!, 16) };
  },

  /** Whether two incarnations are the same; those in the log may be known by their identity alone. */
  isSame(first: string, second: string): boolean {
    if (first === second) return true;
    const [firstIdentity, secondIdentity] = [inLogPattern.exec(first)?.[1], inLogPattern.exec(second)?.[1]];
    return firstIdentity !== undefined && firstIdentity === secondIdentity;
  },
};
