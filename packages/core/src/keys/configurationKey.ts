import { Configurations } from "../configuration/configuration.js";
import { documentFields } from "../configuration/configurationDocument.js";

/** The properties of a space that code needs which does not evaluate the space's rules. */
export interface SpaceOutline {
  prefix: string;
  /** Whether the whole space is one stream, rather than each of its topics. */
  isSingleStream: boolean;
  /** Where messages are stored: in logs (`kept`), in the memory of shard leaders (`unkept`), or in both (`mixed`). */
  storage: "kept" | "unkept" | "mixed";
}
/** The version and the spaces of a configuration. */
export interface ConfigurationOutline {
  version: number;
  spaces: SpaceOutline[];
}
/** The fields of a stored document that the outline needs, before validation. */
interface RawDocument {
  [documentFields.version]: unknown;
  spaces: Array<{
    name: string;
    prefix?: string;
    program?: RawRule[];
  }>;
}
interface RawRule {
  [documentFields.contract]?: { order?: unknown; keep?: unknown };
}

/** The key of the current configuration, stored byte for byte as the operator sent it. */
export const ConfigurationKey = {
  name: "plan",

  /**
   * The version and the spaces, even if this release cannot read the rest of the document; undefined if they are
   * missing or invalid.
   */
  outline(value: Uint8Array): ConfigurationOutline | undefined {
    try {
      const { [documentFields.version]: version, spaces } = JSON.parse(Buffer.from(value).toString()) as RawDocument;
      const outlines = spaces.map((space) => {
        const order = space.program?.[0]?.[documentFields.contract]?.order;
        const isValid = typeof space.name === "string" && ["undefined", "string"].includes(typeof space.prefix);
        return isValid
          ? {
              prefix: Configurations.prefixOf(space),
              isSingleStream: order === "space" || order === "one",
              storage: storageOf(space.program ?? []),
            }
          : undefined;
      });
      const isValid = Number.isSafeInteger(version) && outlines.every((outline) => outline !== undefined);
      return isValid ? { version: version as number, spaces: outlines as SpaceOutline[] } : undefined;
    } catch {
      return undefined;
    }
  },

  /** The version of a stored configuration; 0 if it cannot be read. */
  versionOf(value: Uint8Array): number {
    return ConfigurationKey.outline(value)?.version ?? 0;
  },
};

function storageOf(rules: readonly RawRule[]): SpaceOutline["storage"] {
  const unkeptCount = rules.filter((rule) => rule[documentFields.contract]?.keep === 0).length;
  if (unkeptCount === 0) return "kept";
  return unkeptCount === rules.length ? "unkept" : "mixed";
}
