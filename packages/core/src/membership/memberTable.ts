import { crc32 } from "node:zlib";
import type { Member } from "../gen/cranetrack_pb.js";

/** A record, with what this node alone knows of the member. Times are of the local clock, in milliseconds. */
export interface KnownMember {
  member: Member;
  /** When the record changed last. */
  changedAt: number;
  /** When a frame of its own last arrived here directly. */
  lastContactAt: number;
  /** When the member itself was last sent that it is suspected. */
  suspicionSentAt: number;
  digest: number;
  bucket: number;
}

/**
 * The members that a node knows.
 * Invariants: for each name the record that outranks every other one heard of it; who is not up is taken up only
 * where it was known before, so that nobody who was forgotten comes back as a suspicion.
 */
export class MemberTable {
  static readonly buckets = 32;
  /** Whole numbers up to here can still rise. */
  static readonly maxVersion = 2 ** 52;

  readonly #known = new Map<string, KnownMember>();
  readonly #digests = new Uint32Array(MemberTable.buckets);
  #all: Member[] | undefined;

  /** Whether a record wins over another of the same name: SWIM's order of incarnations, then of states. */
  static isAbove(one: Member, other: Member): boolean {
    if (one.incarnation !== other.incarnation) return one.incarnation > other.incarnation;
    if (one.version !== other.version) return one.version > other.version;
    return MemberTable.#rankOf(one) > MemberTable.#rankOf(other);
  }

  /** Neither left nor suspected. */
  static isUp(member: Member): boolean {
    return member.state === "up" && !member.isSuspected;
  }

  /** Whether a received record can be believed: named, at an address, with numbers that can still rise. */
  static isSound(member: Member): boolean {
    const isWhole = (value: number): boolean => value >= 0 && value < MemberTable.maxVersion;
    return member.name !== "" && member.address !== "" && isWhole(member.incarnation) && isWhole(member.version);
  }

  /** The bucket of a name, by which tables are compared. */
  static bucketOf(name: string): number {
    return crc32(name) % MemberTable.buckets;
  }

  find(name: string): KnownMember | undefined {
    return this.#known.get(name);
  }

  /** Replaces the record of a name, whichever outranks the other: the caller has compared them. */
  put(member: Member, now: number): KnownMember {
    const before = this.#known.get(member.name);
    const known: KnownMember = {
      member,
      changedAt: now,
      lastContactAt: before?.lastContactAt ?? -Infinity,
      suspicionSentAt: -Infinity,
      digest: crc32(`${member.name} ${member.incarnation} ${member.version} ${MemberTable.#rankOf(member)}`),
      bucket: MemberTable.bucketOf(member.name),
    };
    this.#digests[known.bucket]! += known.digest - (before?.digest ?? 0);
    this.#known.set(member.name, known);
    this.#all = undefined;
    return known;
  }

  remove(name: string): void {
    const known = this.#known.get(name);
    if (known === undefined) return;
    this.#digests[known.bucket]! -= known.digest;
    this.#known.delete(name);
    this.#all = undefined;
  }

  /** By name; the same array until a record changes. */
  all(): readonly Member[] {
    return (this.#all ??= [...this.#known.values()]
      .map((known) => known.member)
      .sort((a, b) => (a.name < b.name ? -1 : 1)));
  }

  entries(): IterableIterator<[string, KnownMember]> {
    return this.#known.entries();
  }

  /** Sums of the digests of the records in each bucket; equal tables have equal ones. */
  get digests(): Uint8Array {
    const bytes = new DataView(new ArrayBuffer(4 * MemberTable.buckets));
    this.#digests.forEach((digest, i) => bytes.setUint32(4 * i, digest));
    return new Uint8Array(bytes.buffer);
  }

  /** The records of every bucket in which another's table differs. */
  differing(digests: Uint8Array): Member[] {
    const own = this.digests;
    const isDiffering = Array.from(this.#digests, (_, i) =>
      [0, 1, 2, 3].some((j) => own[4 * i + j] !== digests[4 * i + j]),
    );
    return [...this.#known.values()].filter((known) => isDiffering[known.bucket]).map((known) => known.member);
  }

  static #rankOf({ state, isSuspected }: Member): number {
    return state === "left" ? 2 : isSuspected ? 1 : 0;
  }
}
