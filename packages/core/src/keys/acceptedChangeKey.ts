import { JsonValue } from "./jsonValue.js";

/**
 * Keys that record the content of each acknowledged version of the configuration, one key per version. They are written
 * in the transaction that accepts the version (or acknowledges a superseded one) and are not pushed to other nodes.
 */
export const AcceptedChangeKey = {
  prefix: "documents/orders/",
  /** The key of the highest version whose record may have been dropped; no record is created up to that version. */
  floorKey: "documents/orders-floor",
  /** How many records are kept, those of the highest versions: about 0.3 MB in a snapshot. */
  maxRecords: 2048,

  /** The key of a version. All keys have the same length, so that they sort by version. */
  of(version: number): string {
    return `${AcceptedChangeKey.prefix}${String(version).padStart(16, "0")}`;
  },

  /** The version in a key; undefined if the key is of another kind. */
  versionOf(key: string): number | undefined {
    if (!key.startsWith(AcceptedChangeKey.prefix)) return undefined;
    const version = Number(key.slice(AcceptedChangeKey.prefix.length));
    return Number.isSafeInteger(version) && version > 0 ? version : undefined;
  },

  /** The stored value of `floorKey`. */
  writeFloor(version: number): Uint8Array {
    return JsonValue.write({ version });
  },

  /** The version in the value of `floorKey`; 0 if there is none. */
  readFloor(value: Uint8Array | undefined): number {
    const version = value === undefined ? undefined : JsonValue.read(value)?.["version"];
    return typeof version === "number" ? version : 0;
  },
};
