import { create } from "@bufbuild/protobuf";
import { KvSchema, type Kv } from "@cranetrack/core/gen/cranetrack_pb.js";
import { AcceptedChangeKey } from "@cranetrack/core/keys/acceptedOrderKey.js";
import { IncarnationsKey } from "@cranetrack/core/keys/incarnationsKey.js";
import { ConfigurationKey } from "@cranetrack/core/keys/configurationKey.js";

/** The keys of the state machine, for reading. */
export interface KeyReader {
  get(key: string): Kv | undefined;
  range(prefix: string): Kv[];
}

/**
 * The state machine's part in the records of acknowledged versions.
 * Invariants: at most `mostRecords` are kept, the highest ones. Whatever has no record and was acknowledged once is
 * at or below the floor, and there no record is made any more: a version has one content in its whole life, or none.
 */
export const AcceptedConfigurations = {
  /**
   * The version up to which it is not known which content was acknowledged: what was dropped, and what stands
   * at or below a configuration without a record, which an earlier release put.
   */
  floor(keys: KeyReader): number {
    const kept = AcceptedChangeKey.readFloor(keys.get(AcceptedChangeKey.floor)?.value);
    return Math.max(kept, unrecordedVersion(keys));
  },

  /** Whether a transaction would record a version whose first content may be forgotten. */
  isTooOld(keys: KeyReader, puts: readonly Kv[]): boolean {
    const versions = versionsIn(puts);
    return versions.length > 0 && Math.min(...versions) <= AcceptedConfigurations.floor(keys);
  },

  /** What goes with a transaction's puts: the floor, where one that was only implied is lost with them. */
  withFloor(keys: KeyReader, puts: readonly Kv[]): Kv[] {
    const implied = puts.some(({ key }) => key === ConfigurationKey.name) ? unrecordedVersion(keys) : 0;
    return implied === 0 ? [...puts] : [floorKv(AcceptedConfigurations.floor(keys)), ...puts];
  },

  /** The records beyond the bound, lowest first, and the floor that stands for them. */
  surplus(keys: KeyReader, puts: readonly Kv[]): { floor: Kv; dropped: string[] } | undefined {
    if (versionsIn(puts).length === 0) return undefined;
    const records = keys.range(AcceptedChangeKey.prefix);
    const dropped = records.slice(0, Math.max(0, records.length - AcceptedChangeKey.maxRecords)).map(({ key }) => key);
    if (dropped.length === 0) return undefined;
    const highest = AcceptedChangeKey.versionOf(dropped.at(-1)!) ?? 0;
    return { floor: floorKv(Math.max(highest, AcceptedConfigurations.floor(keys))), dropped };
  },
};

/** The version of the configuration in force where that has no record; else 0. */
function unrecordedVersion(keys: KeyReader): number {
  const incarnations = keys.get(IncarnationsKey.name);
  const version = (incarnations === undefined ? undefined : IncarnationsKey.read(incarnations.value)?.version) ?? 0;
  return version === 0 || keys.get(AcceptedChangeKey.of(version)) !== undefined ? 0 : version;
}

function versionsIn(puts: readonly Kv[]): number[] {
  return puts.map(({ key }) => AcceptedChangeKey.versionOf(key)).filter((version) => version !== undefined);
}

function floorKv(version: number): Kv {
  return create(KvSchema, { key: AcceptedChangeKey.floor, value: AcceptedChangeKey.writeFloor(version) });
}
