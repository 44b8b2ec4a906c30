import { crc32 } from "node:zlib";
import type { Member } from "../gen/cranetrack_pb.js";

/** A member record with this node's local observations of it. Times are of the local clock, in milliseconds. */
export interface KnownMember {
  member: Member;
  /** When the record changed last. */
  changedAt: number;
  /** When a frame from the member last arrived directly. */
  lastContactAt: number;
  /** When the member was last told that it is suspected. */
  suspicionSentAt: number;
  /** Checksum of the record; part of its bucket's digest. */
  digest: number;
  bucket: number;
}

/**
 * The members that a node knows.
 * Invariants: for each name the table holds the record that supersedes every other one received. A record of a member
 * that is not up is accepted only if the member is known, so that no removed member comes back as a suspicion.
 */
export class MemberTable {
  static readonly bucketCount = 32;
  /** Bound of incarnations and versions: below it they can still be incremented exactly. */
  static readonly maxVersion = 2 ** 52;

  readonly #knownMembers = new Map<string, KnownMember>();
  readonly #bucketDigests = new Uint32Array(MemberTable.bucketCount);
  #sortedMembers: Member[] | undefined;

  /** Whether a record supersedes another of the same name: SWIM's order of incarnations, then of states. */
  static supersedes(candidate: Member, current: Member): boolean {
    if (candidate.incarnation !== current.incarnation) return candidate.incarnation > current.incarnation;
    if (candidate.version !== current.version) return candidate.version > current.version;
    return MemberTable.#stateRank(candidate) > MemberTable.#stateRank(current);
  }

  /** Whether the member has neither left nor is suspected. */
  static isUp(member: Member): boolean {
    return member.state === "up" && !member.isSuspected;
  }

  /** Whether a received record is valid: it has a name, an address, and numbers that can still be incremented. */
  static isValid(member: Member): boolean {
    const isIncrementable = (value: number): boolean => value >= 0 && value < MemberTable.maxVersion;
    return (
      member.name !== "" &&
      member.address !== "" &&
      isIncrementable(member.incarnation) &&
      isIncrementable(member.version)
    );
  }

  /** The bucket of a name; tables are compared bucket by bucket. */
  static bucketOf(name: string): number {
    return crc32(name) % MemberTable.bucketCount;
  }

  find(name: string): KnownMember | undefined {
    return this.#knownMembers.get(name);
  }

  /** Replaces the record of a name without comparing the two; the caller does that. */
  put(member: Member, now: number): KnownMember {
    const previous = this.#knownMembers.get(member.name);
    const known: KnownMember = {
      member,
      changedAt: now,
      lastContactAt: previous?.lastContactAt ?? -Infinity,
      suspicionSentAt: -Infinity,
      digest: crc32(`${member.name} ${member.incarnation} ${member.version} ${MemberTable.#stateRank(member)}`),
      bucket: MemberTable.bucketOf(member.name),
    };
    this.#bucketDigests[known.bucket]! += known.digest - (previous?.digest ?? 0);
    this.#knownMembers.set(member.name, known);
    this.#sortedMembers = undefined;
    return known;
  }

  remove(name: string): void {
    const known = this.#knownMembers.get(name);
    if (known === undefined) return;
    this.#bucketDigests[known.bucket]! -= known.digest;
    this.#knownMembers.delete(name);
    this.#sortedMembers = undefined;
  }

  /** All records, sorted by name; the same array until a record changes. */
  all(): readonly Member[] {
    return (this.#sortedMembers ??= [...this.#knownMembers.values()]
      .map((known) => known.member)
      .sort((a, b) => (a.name < b.name ? -1 : 1)));
  }

  entries(): IterableIterator<[string, KnownMember]> {
    return this.#knownMembers.entries();
  }

  /** For each bucket the sum of its records' digests; equal tables have equal sums. */
  get digests(): Uint8Array {
    const bytes = new DataView(new ArrayBuffer(4 * MemberTable.bucketCount));
    this.#bucketDigests.forEach((digest, i) => bytes.setUint32(4 * i, digest));
    return new Uint8Array(bytes.buffer);
  }

  /** The records of every bucket whose digest differs from that of another node's table. */
  recordsDifferingFrom(digests: Uint8Array): Member[] {
    const own = this.digests;
    const isBucketDifferent = Array.from(this.#bucketDigests, (_, i) =>
      [0, 1, 2, 3].some((j) => own[4 * i + j] !== digests[4 * i + j]),
    );
    return [...this.#knownMembers.values()]
      .filter((known) => isBucketDifferent[known.bucket])
      .map((known) => known.member);
  }

  static #stateRank({ state, isSuspected }: Member): number {
    return state === "left" ? 2 : isSuspected ? 1 : 0;
  }
}
