import { create, fromBinary, toBinary } from "@bufbuild/protobuf";
import BTreeModule from "sorted-btree";
import {
  KvSchema,
  StoreCommandSchema,
  StoreSnapshotSchema,
  type ClaimOwners,
  type Kv,
  type Members,
  type OwnerClaim,
  type Txn,
} from "@cranetrack/core/gen/cranetrack_pb.js";
import { EndedOwnersKey, sessionOfOwnerKey } from "@cranetrack/core/keys/endedOwnersKey.js";
import { OwnerKey } from "@cranetrack/core/keys/ownerKey.js";
import { IncarnationsKey } from "@cranetrack/core/keys/incarnationsKey.js";
import { ConfigurationKey, type ConfigurationOutline } from "@cranetrack/core/keys/configurationKey.js";
import { EarlierIncarnations } from "@cranetrack/core/keys/earlierIncarnations.js";
import { decodeMessage } from "@cranetrack/core/rpc/codec.js";
import { PackedValue } from "@cranetrack/core/store/packedValue.js";
import { AcceptedConfigurations } from "./acceptedConfigurations.js";

const BTree = BTreeModule.default;

/** The result of applying one log entry. */
export interface ApplyResult {
  /**
   * Only `done` changes the state. `conflict`: a check failed, or the entry would record a configuration version whose
   * first content may be forgotten; `lost`: the lease does not exist; `rebase`: a difference was made from another
   * version than the key's present value.
   */
  outcome: "done" | "conflict" | "lost" | "rebase";
  /** Index of the entry. */
  revision: number;
  /** After a failed check: the present values of the keys whose checks failed. */
  kvs: Kv[];
  /** Keys that the entry wrote or removed, in order, as feeds send them. */
  changes: Kv[];
}

/**
 * The state machine of the metadata store: keys and leases, built from the committed log entries. Deterministic: the
 * same entries give the same state.
 * Invariants: a key's revision is the index of the entry that wrote it; a key under a lease exists only as long as the
 * lease does.
 */
export class Metadata {
  readonly #keys = new BTree<string, Kv>();
  readonly #leases = new Map<string, { length: number; keys: Set<string> }>();
  /** Index of the last applied entry. */
  revision = 0;

  /** Every lease, with its length in milliseconds. */
  get leases(): ReadonlyMap<string, { length: number }> {
    return this.#leases;
  }

  /** The key with its complete value; undefined if the key does not exist. */
  get(key: string): Kv | undefined {
    return this.#keys.get(key);
  }

  /** All keys with this prefix, in ascending order. */
  range(prefix: string): Kv[] {
    const matches: Kv[] = [];
    this.#keys.forRange(prefix, `${prefix}\u{10ffff}`, true, (_key, kv) => void matches.push(kv));
    return matches;
  }

  /** Applies the committed log entry with this index. */
  apply(index: number, data: Uint8Array): ApplyResult {
    const { command } = decodeMessage(StoreCommandSchema, data);
    const changes: Kv[] = [];
    this.revision = index;
    if (command.case === "grant") {
      if (!this.#leases.has(command.value.lease))
        this.#leases.set(command.value.lease, { length: command.value.length, keys: new Set() });
      return { outcome: "done", revision: index, kvs: [], changes };
    }
    if (command.case === "revoke") {
      const lease = this.#leases.get(command.value.lease);
      this.#leases.delete(command.value.lease);
      const keys = [...(lease?.keys ?? [])].sort();
      for (const key of keys) this.#remove(key, index, changes);
      if (keys.some((key) => sessionOfOwnerKey(key) !== undefined))
        this.#recordEndedOwners(command.value.lease, changes);
      return { outcome: lease === undefined ? "lost" : "done", revision: index, kvs: [], changes };
    }
    if (command.case === "txn") return this.#applyTxn(index, command.value, changes);
    if (command.case === "claimOwners") return this.#applyOwnerClaims(index, command.value, changes);
    return { outcome: "done", revision: index, kvs: [], changes };
  }

  /** Whether the session's owner key has the revision that the claim expects; 0 stands for no owner key. */
  isGrantable({ session, revision }: OwnerClaim): boolean {
    return (this.#keys.get(OwnerKey.of(session))?.revision ?? 0) === revision;
  }

  /** Encodes the whole state, together with the cluster members passed by the caller. */
  snapshot(members: Members | undefined): Uint8Array {
    const leases = [...this.#leases].map(([lease, { length }]) => ({ lease, length }));
    return toBinary(
      StoreSnapshotSchema,
      create(StoreSnapshotSchema, { kvs: [...this.#keys.values()], leases, members, revision: this.revision }),
    );
  }

  /** Whether the bytes can be decoded as a snapshot. */
  static isReadable(snapshot: Uint8Array): boolean {
    try {
      return fromBinary(StoreSnapshotSchema, snapshot).revision >= 0;
    } catch {
      return false;
    }
  }

  /** Replaces the whole state with a snapshot and returns the members that it contains. Throws if it is unreadable. */
  install(snapshot: Uint8Array): Members | undefined {
    const decoded = fromBinary(StoreSnapshotSchema, snapshot);
    this.#keys.clear();
    this.#leases.clear();
    this.revision = decoded.revision;
    for (const { lease, length } of decoded.leases) this.#leases.set(lease, { length, keys: new Set() });
    for (const kv of decoded.kvs) {
      this.#keys.set(kv.key, kv);
      this.#leases.get(kv.lease)?.keys.add(kv.key);
    }
    return decoded.members;
  }

  #applyTxn(index: number, txn: Txn, changes: Kv[]): ApplyResult {
    const revisionOf = (key: string): number => this.#keys.get(key)?.revision ?? 0;
    const failedChecks = txn.checks.filter((check) => revisionOf(check.key) !== check.revision);
    if (failedChecks.length > 0) {
      const kvs = failedChecks.map((check) => this.#keys.get(check.key)).filter((kv) => kv !== undefined);
      return { outcome: "conflict", revision: index, kvs, changes };
    }
    if (txn.puts.some((kv) => kv.lease !== "" && !this.#leases.has(kv.lease)))
      return { outcome: "lost", revision: index, kvs: [], changes };
    if (!txn.puts.every((kv) => this.#tryUnpack(kv))) return { outcome: "rebase", revision: index, kvs: [], changes };
    if (AcceptedConfigurations.recordsForgottenVersion(this, txn.puts))
      return { outcome: "conflict", revision: index, kvs: [], changes };
    const puts = this.#withIncarnations(AcceptedConfigurations.withFloor(this, txn.puts));
    for (const key of txn.deletes) this.#remove(key, index, changes);
    this.#putAll(puts, index, changes);
    const overflow = AcceptedConfigurations.overflow(this, puts);
    if (overflow !== undefined) {
      for (const key of overflow.dropped) this.#remove(key, index, changes);
      this.#putAll([overflow.floor], index, changes);
    }
    return { outcome: "done", revision: index, kvs: [], changes };
  }

  /** Each claim is granted or rejected independently, so a claim that comes too late does not block the others. */
  #applyOwnerClaims(index: number, { node, lease, claims }: ClaimOwners, changes: Kv[]): ApplyResult {
    if (!this.#leases.has(lease)) return { outcome: "lost", revision: index, kvs: [], changes };
    const value = OwnerKey.write({ node, lease });
    const granted = claims.filter((claim) => this.isGrantable(claim));
    const puts = granted.map(({ session }) => create(KvSchema, { key: OwnerKey.of(session), value, lease }));
    this.#putAll(puts, index, changes);
    return { outcome: "done", revision: index, kvs: [], changes };
  }

  #putAll(puts: readonly Kv[], index: number, changes: Kv[]): void {
    for (const kv of puts) {
      this.#leases.get(this.#keys.get(kv.key)?.lease ?? "")?.keys.delete(kv.key);
      kv.revision = index;
      kv.isGone = false;
      kv.leaseLeft = 0;
      this.#keys.set(kv.key, kv);
      this.#leases.get(kv.lease)?.keys.add(kv.key);
      changes.push(kv);
    }
  }

  /**
   * Replaces a packed value by the complete one, as the state holds complete values only. False if it is a difference
   * from another version than the key's present value.
   */
  #tryUnpack(kv: Kv): boolean {
    const value = PackedValue.unpack(kv, this.#keys.get(kv.key));
    if (value === undefined) return false;
    kv.value = value;
    kv.packing = kv.baseRevision = 0;
    return true;
  }

  /**
   * Adds the record of the spaces' incarnations to puts that write a configuration. It is derived only from the
   * configuration and the previous record.
   */
  #withIncarnations(puts: readonly Kv[]): readonly Kv[] {
    if (!puts.some((kv) => kv.key === ConfigurationKey.name)) return puts;
    const isRequested = puts.some((kv) => kv.key === IncarnationsKey.name);
    return puts.flatMap((kv) => {
      if (kv.key === IncarnationsKey.name) return [];
      const outline = kv.key === ConfigurationKey.name ? ConfigurationKey.outline(kv.value) : undefined;
      if (outline === undefined) return [kv];
      const value = isRequested ? this.#nextIncarnations(outline) : this.#nextEarlierIncarnations(outline);
      return [create(KvSchema, { key: IncarnationsKey.name, value }), kv];
    });
  }

  #nextIncarnations(outline: ConfigurationOutline): Uint8Array {
    const before = this.#keys.get(IncarnationsKey.name);
    const record = before === undefined ? undefined : IncarnationsKey.read(before.value);
    return IncarnationsKey.write(IncarnationsKey.next(record, outline));
  }

  #nextEarlierIncarnations(outline: ConfigurationOutline): Uint8Array {
    return EarlierIncarnations.next(this.#keys.get(IncarnationsKey.name)?.value, outline);
  }

  #recordEndedOwners(lease: string, changes: Kv[]): void {
    const value = EndedOwnersKey.write(lease);
    this.#putAll([create(KvSchema, { key: EndedOwnersKey.name, value })], this.revision, changes);
  }

  #remove(key: string, index: number, changes: Kv[]): void {
    const kv = this.#keys.get(key);
    if (kv === undefined) return;
    this.#leases.get(kv.lease)?.keys.delete(key);
    this.#keys.delete(key);
    changes.push(create(KvSchema, { key, revision: index, isGone: true }));
  }
}
