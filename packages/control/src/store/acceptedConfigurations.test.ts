import { test } from "node:test";
import { create, toBinary } from "@bufbuild/protobuf";
import { StoreCommandSchema } from "@cranetrack/core/gen/cranetrack_pb.js";
import { AcceptedChangeKey } from "@cranetrack/core/keys/acceptedChangeKey.js";
import { ConfigurationKey } from "@cranetrack/core/keys/configurationKey.js";
import { expect } from "earl";
import { Metadata } from "./metadata.js";

/** A state machine with the log entries that configuration changes write. */
class StateMachine {
  metadata = new Metadata();
  #index = 0;

  /** Whether the entry was applied. Earlier releases wrote entries without a record (`isRecorded` false). */
  put(version: number, content: string, options: { isConfiguration: boolean; isRecorded: boolean }): boolean {
    const configuration = {
      key: ConfigurationKey.name,
      value: Buffer.from(JSON.stringify({ mark: version, spaces: [] })),
    };
    const record = { key: AcceptedChangeKey.of(version), value: Buffer.from(content) };
    const puts = [...(options.isConfiguration ? [configuration] : []), ...(options.isRecorded ? [record] : [])];
    const checks = options.isRecorded
      ? [{ key: record.key, revision: this.metadata.get(record.key)?.revision ?? 0 }]
      : [];
    const command = create(StoreCommandSchema, { command: { case: "txn", value: { checks, puts } } });
    this.#index += 1;
    return this.metadata.apply(this.#index, toBinary(StoreCommandSchema, command)).outcome === "done";
  }

  accept = (version: number): boolean => this.put(version, "a", { isConfiguration: true, isRecorded: true });
  record = (version: number): boolean => this.put(version, "a", { isConfiguration: false, isRecorded: true });
  acceptUnrecorded = (version: number): boolean => this.put(version, "a", { isConfiguration: true, isRecorded: false });

  get versions(): Array<number | undefined> {
    return this.metadata.range(AcceptedChangeKey.prefix).map(({ key }) => AcceptedChangeKey.versionOf(key));
  }

  get floor(): number {
    return AcceptedChangeKey.readFloor(this.metadata.get(AcceptedChangeKey.floorKey)?.value);
  }

  /** Continues from a snapshot, as a restarted or new member does. */
  restart(): void {
    const snapshot = this.metadata.snapshot(undefined);
    this.metadata = new Metadata();
    this.metadata.install(snapshot);
  }
}
const maxRecords = AcceptedChangeKey.maxRecords;

test("records of the highest versions are kept, and a dropped version is never recorded again", () => {
  const state = new StateMachine();
  for (let version = 11; version <= 10 + maxRecords; version += 1) expect(state.accept(version)).toEqual(true);
  expect([state.versions.length, state.versions[0], state.floor]).toEqual([maxRecords, 11, 0]);
  expect(state.accept(11 + maxRecords)).toEqual(true);
  expect([state.versions.length, state.versions[0], state.floor]).toEqual([maxRecords, 12, 11]);
  state.restart();
  expect([11, 10, 1].map(state.record)).toEqual([false, false, false]);
  expect([state.versions.length, state.versions[0], state.floor]).toEqual([maxRecords, 12, 11]);
});

test("the record of a low version beyond the limit is dropped at once and can never be written again", () => {
  const state = new StateMachine();
  for (let version = 11; version <= 10 + maxRecords; version += 1) state.accept(version);
  expect(state.record(5)).toEqual(true);
  expect([state.versions.length, state.versions[0], state.floor]).toEqual([maxRecords, 11, 5]);
  expect([state.record(5), state.record(6)]).toEqual([false, true]);
});

test("no version is recorded at or below one that an earlier release put in force, even after that is replaced", () => {
  const state = new StateMachine();
  state.acceptUnrecorded(20);
  expect([state.record(19), state.record(20)]).toEqual([false, false]);
  expect(state.accept(30)).toEqual(true);
  state.restart();
  expect([state.floor, state.record(20), state.record(3), state.record(25)]).toEqual([20, false, false, true]);
  state.acceptUnrecorded(40);
  expect([state.record(35), state.accept(41), state.record(35), state.floor]).toEqual([false, true, false, 40]);
});
