import { test } from "node:test";
import { create } from "@bufbuild/protobuf";
import { MemberSchema, type Member } from "@cranetrack/core/gen/cranetrack_pb.js";
import { expect } from "earl";
import { DiskWatch } from "./diskWatch.js";

/** A disk watch over membership records that the test updates one after another. */
function makeWatch() {
  const records = new Map<string, Member>();
  const down = new Set<string>();
  let changed = (): void => undefined;
  const membership = {
    all: () => [...records.values()],
    isAlive: (name: string) => !down.has(name),
    on: (_event: "changed", listener: () => void) => void (changed = listener),
  };
  const watch = new DiskWatch(membership);
  const update = (name: string, disk: string, diskStarts: number, processIncarnation: string): void => {
    records.set(name, create(MemberSchema, { name, disk, diskStarts, processIncarnation }));
    changed();
  };
  return { watch, update, down };
}

test("a disk that is started repeatedly is trusted", () => {
  const { watch, update } = makeWatch();
  expect(watch.isTrusted("d")).toEqual(true);
  for (const [starts, processIncarnation] of [
    [1, "a"],
    [1, "a"],
    [2, "b"],
    [5, "c"],
  ] as const) {
    update("one", "d", starts, processIncarnation);
    expect(watch.isTrusted("d")).toEqual(true);
  }
});

test("an older copy of a disk isn't trusted until its start count exceeds every count seen", () => {
  const { watch, update } = makeWatch();
  update("one", "d", 7, "a");
  update("one", "d", 5, "b");
  expect([watch.isTrusted("d"), watch.isTrusted("e")]).toEqual([false, true]);
  update("one", "d", 8, "c");
  expect(watch.isTrusted("d")).toEqual(true);
});

test("of two processes on copies of one disk neither is trusted, under one machine name or two", () => {
  const single = makeWatch();
  single.update("one", "d", 7, "a");
  single.update("one", "d", 7, "b");
  expect(single.watch.isTrusted("d")).toEqual(false);
  single.update("one", "d", 7, "a");
  expect(single.watch.isTrusted("d")).toEqual(false);
  const two = makeWatch();
  two.update("one", "d", 7, "a");
  two.update("two", "d", 8, "b");
  expect(two.watch.isTrusted("d")).toEqual(false);
  two.down.add("one");
  two.update("one", "", 0, "");
  expect(two.watch.isTrusted("d")).toEqual(true);
});

test("records of builds that don't count starts are trusted", () => {
  const { watch, update } = makeWatch();
  update("one", "d", 0, "");
  update("one", "d", 0, "");
  expect(watch.isTrusted("d")).toEqual(true);
});
