import { create, type MessageInitShape } from "@bufbuild/protobuf";
import { KvSchema, TxnSchema, type Kv, type Txn } from "../gen/cranetrack_pb.js";
import { PackedValue, type ValueVersion } from "./packedValue.js";

type TxnInit = MessageInitShape<typeof TxnSchema>;

/**
 * The store's large values as a client last saw them, which are the bases of deltas in both directions.
 * Invariant: a kept version is what the store had under that revision. It may be outdated.
 */
export class LargeValues {
  static readonly maxKeys = 8;

  readonly #versions = new Map<string, ValueVersion>();

  /** The versions of these keys that this client has, so that the store need not send them again. */
  knownVersions(keys: readonly string[]): Array<{ key: string; revision: number }> {
    return keys.flatMap((key) => {
      const version = this.#versions.get(key);
      return version === undefined ? [] : [{ key, revision: version.revision }];
    });
  }

  /** The same transaction with its large values packed, as deltas if the client has a base. */
  pack(txn: TxnInit): Txn {
    const { checks, puts, deletes } = create(TxnSchema, txn);
    return create(TxnSchema, { checks, puts: puts.map((put) => this.#packPut(put)), deletes });
  }

  /** Replaces packed values by whole ones; returns false if a base is missing or a value is damaged. */
  unpack(kvs: readonly Kv[]): boolean {
    return kvs.every((kv) => {
      const value = PackedValue.unpack(kv, this.#versions.get(kv.key));
      if (value === undefined) return false;
      kv.value = value;
      kv.packing = kv.baseRevision = 0;
      this.#remember(kv.key, kv);
      return true;
    });
  }

  /** Records a committed transaction: the store has its values under this revision. */
  written(txn: TxnInit, revision: number): void {
    for (const { key = "", value = new Uint8Array() } of txn.puts ?? []) this.#remember(key, { value, revision });
  }

  /** Drops all versions, so that values are sent and requested whole. */
  forget(): void {
    this.#versions.clear();
  }

  #packPut(put: Kv): Kv {
    return create(KvSchema, { ...put, ...PackedValue.pack(put.value, this.#versions.get(put.key)) });
  }

  #remember(key: string, { value, revision }: ValueVersion): void {
    if (!PackedValue.isLarge(value)) return;
    const isOld = (this.#versions.get(key)?.revision ?? 0) > revision;
    if (isOld) return;
    this.#versions.delete(key);
    this.#versions.set(key, { value, revision });
    const [oldest] = this.#versions.keys();
    if (this.#versions.size > LargeValues.maxKeys) this.#versions.delete(oldest!);
  }
}
