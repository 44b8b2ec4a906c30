import { test } from "node:test";
import { create, toBinary } from "@bufbuild/protobuf";
import { StoreCommandSchema } from "@cranetrack/core/gen/cranetrack_pb.js";
import { AcceptedChangeKey } from "@cranetrack/core/keys/acceptedOrderKey.js";
import { ConfigurationKey } from "@cranetrack/core/keys/configurationKey.js";
import { expect } from "earl";
import { Metadata } from "./metadata.js";

/** A state machine, and the entries that orders make of it. */
class Machine {
  metadata = new Metadata();
  #index = 0;

  /** Whether the entry was taken. `isRecorded` is what an earlier release did not do. */
  put(version: number, content: string, what: { isConfiguration: boolean; isRecorded: boolean }): boolean {
    const configuration = {
      key: ConfigurationKey.name,
      value: Buffer.from(JSON.stringify({ mark: version, spaces: [] })),
    };
    const record = { key: AcceptedChangeKey.of(version), value: Buffer.from(content) };
    const puts = [...(what.isConfiguration ? [configuration] : []), ...(what.isRecorded ? [record] : [])];
    const checks = what.isRecorded ? [{ key: record.key, revision: this.metadata.get(record.key)?.revision ?? 0 }] : [];
    const command = create(StoreCommandSchema, { command: { case: "txn", value: { checks, puts } } });
    this.#index += 1;
    return this.metadata.apply(this.#index, toBinary(StoreCommandSchema, command)).outcome === "done";
  }

  take = (version: number): boolean => this.put(version, "a", { isConfiguration: true, isRecorded: true });
  record = (version: number): boolean => this.put(version, "a", { isConfiguration: false, isRecorded: true });
  takeUnrecorded = (version: number): boolean => this.put(version, "a", { isConfiguration: true, isRecorded: false });

  get versions(): Array<number | undefined> {
    return this.metadata.range(AcceptedChangeKey.prefix).map(({ key }) => AcceptedChangeKey.versionOf(key));
  }

  get floor(): number {
    return AcceptedChangeKey.readFloor(this.metadata.get(AcceptedChangeKey.floor)?.value);
  }

  /** Goes on from a snapshot, as a restarted or new member does. */
  restart(): void {
    const snapshot = this.metadata.snapshot(undefined);
    this.metadata = new Metadata();
    this.metadata.install(snapshot);
  }
}
const most = AcceptedChangeKey.maxRecords;

test("the highest versions are remembered, and what was dropped is never recorded again", () => {
  const machine = new Machine();
  for (let version = 11; version <= 10 + most; version += 1) expect(machine.take(version)).toEqual(true);
  expect([machine.versions.length, machine.versions[0], machine.floor]).toEqual([most, 11, 0]);
  expect(machine.take(11 + most)).toEqual(true);
  expect([machine.versions.length, machine.versions[0], machine.floor]).toEqual([most, 12, 11]);
  machine.restart();
  expect([11, 10, 1].map(machine.record)).toEqual([false, false, false]);
  expect([machine.versions.length, machine.versions[0], machine.floor]).toEqual([most, 12, 11]);
});

test("a low version that is recorded where there is no room is dropped at once, and for good", () => {
  const machine = new Machine();
  for (let version = 11; version <= 10 + most; version += 1) machine.take(version);
  expect(machine.record(5)).toEqual(true);
  expect([machine.versions.length, machine.versions[0], machine.floor]).toEqual([most, 11, 5]);
  expect([machine.record(5), machine.record(6)]).toEqual([false, true]);
});

test("nothing is recorded at or below what an earlier release put in force, also once that is replaced", () => {
  const machine = new Machine();
  machine.takeUnrecorded(20);
  expect([machine.record(19), machine.record(20)]).toEqual([false, false]);
  expect(machine.take(30)).toEqual(true);
  machine.restart();
  expect([machine.floor, machine.record(20), machine.record(3), machine.record(25)]).toEqual([20, false, false, true]);
  machine.takeUnrecorded(40);
  expect([machine.record(35), machine.take(41), machine.record(35), machine.floor]).toEqual([false, true, false, 40]);
});
