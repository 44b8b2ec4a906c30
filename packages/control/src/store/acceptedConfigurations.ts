import { create } from "@bufbuild/protobuf";
import { KvSchema, type Kv } from "@cranetrack/core/gen/cranetrack_pb.js";
import { AcceptedChangeKey } from "@cranetrack/core/keys/acceptedChangeKey.js";
import { IncarnationsKey } from "@cranetrack/core/keys/incarnationsKey.js";
import { ConfigurationKey } from "@cranetrack/core/keys/configurationKey.js";

/** Read access to the keys of the state machine. */
export interface KeyReader {
  get(key: string): Kv | undefined;
  range(prefix: string): Kv[];
}

/**
 * Maintains the records of acknowledged configuration versions in the state machine. Deterministic: it depends only on
 * the keys.
 * Invariants: at most `AcceptedChangeKey.maxRecords` records are kept, those of the highest versions. Every
 * acknowledged version without a record is at or below the floor, and no record is written at or below the floor. A
 * version therefore never stands for two different contents.
 */
export const AcceptedConfigurations = {
  /**
   * The highest version whose acknowledged content may be unknown: its record was dropped, or the version is not above
   * a configuration without a record, as earlier releases wrote them. 0 if there is none.
   */
  floor(keys: KeyReader): number {
    const recordedFloor = AcceptedChangeKey.readFloor(keys.get(AcceptedChangeKey.floorKey)?.value);
    return Math.max(recordedFloor, unrecordedVersion(keys));
  },

  /** Whether the puts record a version at or below the floor, whose first content may be forgotten. */
  recordsForgottenVersion(keys: KeyReader, puts: readonly Kv[]): boolean {
    const versions = recordedVersions(puts);
    return versions.length > 0 && Math.min(...versions) <= AcceptedConfigurations.floor(keys);
  },

  /** Adds the floor to puts that replace a configuration without a record, which implied the floor until then. */
  withFloor(keys: KeyReader, puts: readonly Kv[]): Kv[] {
    const impliedFloor = puts.some(({ key }) => key === ConfigurationKey.name) ? unrecordedVersion(keys) : 0;
    return impliedFloor === 0 ? [...puts] : [floorKv(AcceptedConfigurations.floor(keys)), ...puts];
  },

  /** The keys of the records beyond the limit, lowest first, and the floor that replaces them. */
  overflow(keys: KeyReader, puts: readonly Kv[]): { floor: Kv; dropped: string[] } | undefined {
    if (recordedVersions(puts).length === 0) return undefined;
    const records = keys.range(AcceptedChangeKey.prefix);
    const dropped = records.slice(0, Math.max(0, records.length - AcceptedChangeKey.maxRecords)).map(({ key }) => key);
    if (dropped.length === 0) return undefined;
    const highestDropped = AcceptedChangeKey.versionOf(dropped.at(-1)!) ?? 0;
    return { floor: floorKv(Math.max(highestDropped, AcceptedConfigurations.floor(keys))), dropped };
  },
};

/** The version of the configuration in force if it has no record, otherwise 0. */
function unrecordedVersion(keys: KeyReader): number {
  const incarnations = keys.get(IncarnationsKey.name);
  const version = (incarnations === undefined ? undefined : IncarnationsKey.read(incarnations.value)?.version) ?? 0;
  return version === 0 || keys.get(AcceptedChangeKey.of(version)) !== undefined ? 0 : version;
}

function recordedVersions(puts: readonly Kv[]): number[] {
  return puts.map(({ key }) => AcceptedChangeKey.versionOf(key)).filter((version) => version !== undefined);
}

function floorKv(version: number): Kv {
  return create(KvSchema, { key: AcceptedChangeKey.floorKey, value: AcceptedChangeKey.writeFloor(version) });
}
