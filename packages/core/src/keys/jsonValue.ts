/** Encodes and decodes stored values that are JSON. Decoding invalid bytes returns undefined and never throws. */
export const JsonValue = {
  write(record: object): Uint8Array {
    return Buffer.from(JSON.stringify(record));
  },

  /** The object in the bytes, its fields not checked; undefined if there is none. */
  read(value: Uint8Array): Record<string, unknown> | undefined {
    try {
      return JsonValue.asRecord(JSON.parse(Buffer.from(value).toString()));
    } catch {
      return undefined;
    }
  },

  /** The value if it is an object that is not an array; otherwise undefined. */
  asRecord(value: unknown): Record<string, unknown> | undefined {
    return typeof value === "object" && value !== null && !Array.isArray(value)
      ? (value as Record<string, unknown>)
      : undefined;
  },

  /** A new object with only these fields; undefined if one of them is missing or not a string. */
  stringFields<K extends string>(value: unknown, keys: readonly K[]): Record<K, string> | undefined {
    const record = JsonValue.asRecord(value);
    if (record === undefined || !keys.every((key) => Object.hasOwn(record, key) && typeof record[key] === "string"))
      return undefined;
    return Object.fromEntries(keys.map((key) => [key, record[key]])) as Record<K, string>;
  },

  /**
   * An object whose values are all finite numbers; undefined for any other value. The result has no prototype, so that
   * any key can be looked up safely.
   */
  numberTable(value: unknown): Record<string, number> | undefined {
    const record = JsonValue.asRecord(value);
    if (record === undefined || !Object.values(record).every((entry) => Number.isFinite(entry))) return undefined;
    return Object.assign(Object.create(null) as object, record) as Record<string, number>;
  },

  /**
   * An object whose values are all strings; undefined for any other value. The result has no prototype, so that any key
   * can be looked up safely.
   */
  stringTable(value: unknown): Record<string, string> | undefined {
    const record = JsonValue.asRecord(value);
    if (record === undefined || !Object.values(record).every((entry) => typeof entry === "string")) return undefined;
    return Object.assign(Object.create(null) as object, record) as Record<string, string>;
  },
};
