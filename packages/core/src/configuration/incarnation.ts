import { createHash } from "node:crypto";

/** A place in a stream's log: after its message `seq`. */
export interface LogPosition {
  /** Which log: the random part of its incarnation, or `noLogIdentity` for any that is made later. */
  readonly identity: string;
  readonly seq: number;
}

const identityLength = 10;
const inLogPattern = /^[0-9a-f]{1,14}-([0-9a-f]{6,19})$/;
const inMemoryPattern = /^([0-9a-f]{1,14})-([0-9a-f]{10})[0-9a-f]{10}$/;

/**
 * The incarnations of a stream, as texts that stand in cursors: one in the log, for as long as the log has the stream;
 * and one in the memory of each leader that sequences it while its space keeps nothing. The latter names its base, the
 * end of the log at the time, so that every cursor is a place in the log as well: whoever has read it goes on there
 * once the space keeps messages again. Pure.
 */
export const Incarnations = {
  /** Of a stream in a leader's memory that begins where the log stands at `base`. */
  inMemory(base: LogPosition, identity: string): string {
    return `${base.seq.toString(16)}-${base.identity}${identity.slice(0, identityLength)}`;
  },

  /** The text by which a log may be asked for when only its identity is known. */
  inLog(identity: string): string {
    return `1-${identity}`;
  },

  isInMemory(incarnation: string): boolean {
    return inMemoryPattern.test(incarnation);
  },

  /** Stands for the log of a stream that has none yet. No other stream has the same. */
  noLogIdentity(stream: string): string {
    return createHash("sha256").update(stream).digest("hex").slice(0, identityLength);
  },

  /** The place in the log that has been read by whoever has read up to `seq`; undefined for what is no incarnation. */
  logPosition(incarnation: string, seq: number): LogPosition | undefined {
    const inLog = inLogPattern.exec(incarnation);
    if (inLog !== null) return { identity: inLog[1]!, seq };
    const inMemory = inMemoryPattern.exec(incarnation);
    return inMemory === null ? undefined : { identity: inMemory[2]!, seq: Number.parseInt(inMemory[1]!, 16) };
  },

  /** Whether two incarnations are the same; those in the log may be known by their identity alone. */
  isSame(one: string, other: string): boolean {
    if (one === other) return true;
    const [a, b] = [inLogPattern.exec(one)?.[1], inLogPattern.exec(other)?.[1]];
    return a !== undefined && a === b;
  },
};
