import { create } from "@bufbuild/protobuf";
import { KvSchema, type Kv } from "@cranetrack/core/gen/cranetrack_pb.js";
import { packing, PackedValue, type Packed, type ValueVersion } from "@cranetrack/core/store/packedValue.js";

/**
 * The last versions of large values, so that a receiver that has one of them is sent the newest as a difference.
 * Invariant: a key's versions are contiguous, oldest first, and the last is the key's value.
 */
export class ValueHistory {
  static readonly maxVersions = 64;
  /** Of one key; two versions are kept in any case. */
  static readonly maxBytes = 2 * 1024 * 1024;

  readonly #versions = new Map<string, KeptVersion[]>();
  /** Packed forms of the newest version, by the revision of their base. */
  readonly #forms = new Map<string, Map<number, Packed>>();

  /** Begins afresh with these values. */
  reset(kvs: readonly Kv[]): void {
    this.#versions.clear();
    this.#forms.clear();
    this.keep(kvs);
  }

  /** Adds the new versions of large values; of a value that is no longer large nothing is kept. */
  keep(changes: readonly Kv[]): void {
    for (const kv of changes) {
      this.#forms.delete(kv.key);
      if (ValueHistory.isLarge(kv)) this.#add(kv);
      else this.#versions.delete(kv.key);
    }
  }

  /** Values under a lease change hands rather than content, and are small. */
  static isLarge(kv: Kv): boolean {
    return !kv.isGone && kv.lease === "" && PackedValue.isLarge(kv.value);
  }

  /** Packs for a receiver that has all that the store had at a revision. */
  packSince(kv: Kv, revision: number): Kv {
    return this.#pack(
      kv,
      this.#versions.get(kv.key)?.findLast((version) => version.revision <= revision),
    );
  }

  /** Packs for a receiver that has the key's value of exactly this revision. */
  packFrom(kv: Kv, revision: number): Kv {
    return this.#pack(kv, this.#find(kv.key, revision));
  }

  /** The value of a difference from any version kept here; undefined where its base is not. */
  unpack(kv: Kv): Uint8Array | undefined {
    return PackedValue.unpack(kv, ValueHistory.#whole(this.#find(kv.key, kv.baseRevision)));
  }

  static #whole(version: KeptVersion | undefined): ValueVersion | undefined {
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
    return create(KvSchema, { ...kv, ...this.#form(kv, base) });
  }

  /** Many receivers have the same base: each form is made once. */
  #form(kv: Kv, base: KeptVersion | undefined): Packed {
    const isNewest = this.#versions.get(kv.key)?.at(-1)?.revision === kv.revision;
    if (!isNewest) return PackedValue.pack(kv.value, ValueHistory.#whole(base));
    const forms = this.#forms.get(kv.key) ?? new Map<number, Packed>();
    this.#forms.set(kv.key, forms);
    const form = forms.get(base?.revision ?? 0) ?? PackedValue.pack(kv.value, ValueHistory.#whole(base));
    forms.set(base?.revision ?? 0, form);
    return form;
  }

  #add({ key, value, revision }: Kv): void {
    const versions = this.#versions.get(key) ?? [];
    this.#versions.set(key, versions);
    versions.push({ revision, packed: { value, packing: packing.none, baseRevision: 0 } });
    if (versions.length > ValueHistory.maxVersions) versions.shift();
    while (versions.length > 2 && bytesOf(versions) > ValueHistory.maxBytes) ValueHistory.#shrink(versions);
  }

  /**
   * Deflates the eldest version that is whole, or else drops the eldest: whole, few versions of a large configuration
   * would fit, and feeds would lag behind them.
   */
  static #shrink(versions: KeptVersion[]): void {
    const whole = versions.slice(0, -1).find(({ packed }) => packed.packing === packing.none);
    if (whole !== undefined) whole.packed = PackedValue.pack(whole.packed.value);
    if (whole === undefined || whole.packed.packing === packing.none) versions.shift();
  }
}

function bytesOf(versions: readonly KeptVersion[]): number {
  return versions.reduce((sum, { packed }) => sum + packed.value.length, 0);
}

interface KeptVersion {
  revision: number;
  packed: Packed;
}
