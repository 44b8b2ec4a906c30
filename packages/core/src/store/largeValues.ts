import { create, type MessageInitShape } from "@bufbuild/protobuf";
import { KvSchema, TxnSchema, type Kv, type Txn } from "../gen/cranetrack_pb.js";
import { PackedValue, type ValueVersion } from "./packedValue.js";

type TxnInit = MessageInitShape<typeof TxnSchema>;

/**
 * Large values of the store as a client of it last saw them: the bases of differences, in both directions.
 * Invariant: a version kept here is what the store had under that revision. It may be an old one.
 */
export class LargeValues {
  static readonly maxKeys = 8;

  readonly #versions = new Map<string, ValueVersion>();

  /** What need not be sent again to this client. */
  knownOf(keys: readonly string[]): Array<{ key: string; revision: number }> {
    return keys.flatMap((key) => {
      const version = this.#versions.get(key);
      return version === undefined ? [] : [{ key, revision: version.revision }];
    });
  }

  /** The same transaction with its large values packed: as differences where the client knows a base. */
  pack(txn: TxnInit): Txn {
    const { checks, puts, deletes } = create(TxnSchema, txn);
    return create(TxnSchema, { checks, puts: puts.map((put) => this.#packPut(put)), deletes });
  }

  /** Puts whole values in place of packed ones; false where that can't be done. */
  unpack(kvs: readonly Kv[]): boolean {
    return kvs.every((kv) => {
      const value = PackedValue.unpack(kv, this.#versions.get(kv.key));
      if (value === undefined) return false;
      kv.value = value;
      kv.packing = kv.baseRevision = 0;
      this.#keep(kv.key, kv);
      return true;
    });
  }

  /** A transaction was done: the store has its values under this revision. */
  written(txn: TxnInit, revision: number): void {
    for (const { key = "", value = new Uint8Array() } of txn.puts ?? []) this.#keep(key, { value, revision });
  }

  forget(): void {
    this.#versions.clear();
  }

  #packPut(put: Kv): Kv {
    return create(KvSchema, { ...put, ...PackedValue.pack(put.value, this.#versions.get(put.key)) });
  }

  #keep(key: string, { value, revision }: ValueVersion): void {
    if (!PackedValue.isLarge(value)) return;
    const isOld = (this.#versions.get(key)?.revision ?? 0) > revision;
    if (isOld) return;
    this.#versions.delete(key);
    this.#versions.set(key, { value, revision });
    const [eldest] = this.#versions.keys();
    if (this.#versions.size > LargeValues.maxKeys) this.#versions.delete(eldest!);
  }
}
