import { create } from "@bufbuild/protobuf";
import { KvSchema, type Kv } from "@cranetrack/core/gen/cranetrack_pb.js";
import { packing, PackedValue, type Packed, type ValueVersion } from "@cranetrack/core/store/packedValue.js";

/**
 * The last versions of large values, so that the newest can be sent as a difference to a receiver that has one of them.
 * Invariant: a key's versions are contiguous, oldest first, and the last one is the key's present value.
 */
export class ValueHistory {
  /** Versions kept of each key. */
  static readonly maxVersions = 64;
  /** Bytes kept of each key; the last two versions are kept even if they are larger. */
  static readonly maxBytes = 2 * 1024 * 1024;

  readonly #versions = new Map<string, KeptVersion[]>();
  /** Packed forms of each key's newest version, by the revision of the base; 0 stands for no base. */
  readonly #packedForms = new Map<string, Map<number, Packed>>();

  /** Discards the history and starts again with these values. */
  reset(kvs: readonly Kv[]): void {
    this.#versions.clear();
    this.#packedForms.clear();
    this.record(kvs);
  }

  /** Adds the new versions of large values; drops the history of a key whose value is no longer large. */
  record(changes: readonly Kv[]): void {
    for (const kv of changes) {
      this.#packedForms.delete(kv.key);
      if (ValueHistory.isLarge(kv)) this.#add(kv);
      else this.#versions.delete(kv.key);
    }
  }

  /**
   * Whether versions of the value are kept. Values under a lease never are: they are small, and their owner changes.
   */
  static isLarge(kv: Kv): boolean {
    return !kv.isGone && kv.lease === "" && PackedValue.isLarge(kv.value);
  }

  /** Packs for a receiver that has the store's state at this revision. */
  packForStoreRevision(kv: Kv, revision: number): Kv {
    return this.#pack(
      kv,
      this.#versions.get(kv.key)?.findLast((version) => version.revision <= revision),
    );
  }

  /** Packs for a receiver that has the key's value of exactly this revision. 0: the receiver has none. */
  packForValueRevision(kv: Kv, revision: number): Kv {
    return this.#pack(kv, this.#find(kv.key, revision));
  }

  /** The complete value of a difference from any version kept here; undefined if its base is not kept. */
  unpack(kv: Kv): Uint8Array | undefined {
    return PackedValue.unpack(kv, ValueHistory.#unpackVersion(this.#find(kv.key, kv.baseRevision)));
  }

  static #unpackVersion(version: KeptVersion | undefined): ValueVersion | undefined {
    const value = version === undefined ? undefined : PackedValue.unpack(version.packed, undefined);
    return version === undefined || value === undefined ? undefined : { value, revision: version.revision };
  }

  #find(key: string, revision: number): KeptVersion | undefined {
    return this.#versions.get(key)?.find((version) => version.revision === revision);
  }

  #pack(kv: Kv, base: KeptVersion | undefined): Kv {
    if (!ValueHistory.isLarge(kv)) return kv;
    if (base?.revision === kv.revision)
      return create(KvSchema, {
        ...kv,
        value: new Uint8Array(),
        packing: packing.omitted,
        baseRevision: kv.revision,
      });
    return create(KvSchema, { ...kv, ...this.#packedForm(kv, base) });
  }

  /** Each packed form of the newest version is cached, as many receivers have the same base. */
  #packedForm(kv: Kv, base: KeptVersion | undefined): Packed {
    const isNewest = this.#versions.get(kv.key)?.at(-1)?.revision === kv.revision;
    if (!isNewest) return PackedValue.pack(kv.value, ValueHistory.#unpackVersion(base));
    const forms = this.#packedForms.get(kv.key) ?? new Map<number, Packed>();
    this.#packedForms.set(kv.key, forms);
    const form = forms.get(base?.revision ?? 0) ?? PackedValue.pack(kv.value, ValueHistory.#unpackVersion(base));
    forms.set(base?.revision ?? 0, form);
    return form;
  }

  #add({ key, value, revision }: Kv): void {
    const versions = this.#versions.get(key) ?? [];
    this.#versions.set(key, versions);
    versions.push({ revision, packed: { value, packing: packing.none, baseRevision: 0 } });
    if (versions.length > ValueHistory.maxVersions) versions.shift();
    while (versions.length > 2 && totalBytes(versions) > ValueHistory.maxBytes) ValueHistory.#shrink(versions);
  }

  /**
   * Deflates the oldest uncompressed version, or drops the oldest version if all are compressed. Without compression
   * only few versions of a large configuration fit, and slower feeds would miss their base.
   */
  static #shrink(versions: KeptVersion[]): void {
    const oldestUnpacked = versions.slice(0, -1).find(({ packed }) => packed.packing === packing.none);
    if (oldestUnpacked !== undefined) oldestUnpacked.packed = PackedValue.pack(oldestUnpacked.packed.value);
    if (oldestUnpacked === undefined || oldestUnpacked.packed.packing === packing.none) versions.shift();
  }
}

function totalBytes(versions: readonly KeptVersion[]): number {
  return versions.reduce((sum, { packed }) => sum + packed.value.length, 0);
}

/** A version in the history: uncompressed or deflated, never a difference. */
interface KeptVersion {
  revision: number;
  packed: Packed;
}
