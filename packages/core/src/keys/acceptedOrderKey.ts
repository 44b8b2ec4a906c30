import { JsonValue } from "./jsonValue.js";

/**
 * Keys that say which content each acknowledged version of the configuration had, one key a version. They are
 * written in the transaction that takes the version (or that acknowledges a superseded one) and pushed to nobody.
 */
export const AcceptedChangeKey = {
  prefix: "documents/orders/",
  /** Holds the highest version whose record may have been dropped; at or below it no record is made any more. */
  floor: "documents/orders-floor",
  /** So many versions are remembered, the highest ones: about 0.3 MB of a snapshot. */
  maxRecords: 2048,

  /** Of equal length, so the order of the keys is that of the versions. */
  of(version: number): string {
    return `${AcceptedChangeKey.prefix}${String(version).padStart(16, "0")}`;
  },

  /** Undefined where the key is of another kind. */
  versionOf(key: string): number | undefined {
    if (!key.startsWith(AcceptedChangeKey.prefix)) return undefined;
    const version = Number(key.slice(AcceptedChangeKey.prefix.length));
    return Number.isSafeInteger(version) && version > 0 ? version : undefined;
  },

  writeFloor(version: number): Uint8Array {
    return JsonValue.write({ version });
  },

  /** 0 where there is none. */
  readFloor(value: Uint8Array | undefined): number {
    const version = value === undefined ? undefined : JsonValue.read(value)?.["version"];
    return typeof version === "number" ? version : 0;
  },
};
