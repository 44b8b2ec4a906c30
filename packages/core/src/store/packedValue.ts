import { deflateRawSync, inflateRawSync } from "node:zlib";
import { createDelta } from "fossil-delta";
import { FossilDelta } from "./fossilDelta.js";

/** How a value is encoded; the numbers are on the wire and in the log's entries. */
export const packing = { none: 0, deflated: 1, difference: 2, omitted: 3 } as const;

/** A version of a key's value. */
export interface ValueVersion {
  value: Uint8Array;
  revision: number;
}

/** An encoded value. */
export interface Packed {
  value: Uint8Array;
  packing: number;
  /** Revision of the version that a delta applies to; 0 if there is none. */
  baseRevision: number;
}

/**
 * Compresses large values for the wire and the log: deflated, or as a delta from an earlier version in the format of
 * the Fossil version control system, which ends with a checksum of the result.
 * Invariant: what is unpacked is byte for byte what was packed, or undefined. Unpacking depends on nothing but its
 * arguments, so state machines may do it.
 */
export const PackedValue = {
  /** Smaller values are sent unchanged. */
  minBytes: 512,
  /** Limit of an unpacked value, whatever size its bytes declare. */
  maxBytes: 16 * 1024 * 1024,
  /** A delta smaller than the value by this factor is used without deflating the value for comparison. */
  clearGain: 32,

  /** Whether a value is packed at all. */
  isLarge(value: Uint8Array): boolean {
    return value.length >= PackedValue.minBytes;
  },

  /** The smallest form of a value for a receiver that has the base. */
  pack(value: Uint8Array, base?: ValueVersion): Packed {
    const whole: Packed = { value, packing: packing.none, baseRevision: 0 };
    if (!PackedValue.isLarge(value)) return whole;
    const forms = [whole];
    if (base !== undefined && base.revision > 0 && PackedValue.isLarge(base.value)) {
      const difference = createDelta(base.value, value);
      const form = { value: difference, packing: packing.difference, baseRevision: base.revision };
      if (difference.length * PackedValue.clearGain <= value.length) return form;
      forms.push(form);
    }
    forms.push({ value: deflateRawSync(value), packing: packing.deflated, baseRevision: 0 });
    return forms.reduce((best, form) => (form.value.length < best.value.length ? form : best));
  },

  /** The whole value; undefined if the base is missing or another version, or the bytes are damaged. */
  unpack(packed: Packed, base: ValueVersion | undefined): Uint8Array | undefined {
    if (packed.packing === packing.none) return packed.value;
    try {
      if (packed.packing === packing.deflated)
        return inflateRawSync(packed.value, { maxOutputLength: PackedValue.maxBytes });
      if (base?.revision !== packed.baseRevision) return undefined;
      if (packed.packing === packing.omitted) return base.value;
      if (packed.packing !== packing.difference) return undefined;
      return FossilDelta.apply(base.value, packed.value, PackedValue.maxBytes);
    } catch {
      return undefined;
    }
  },
};
