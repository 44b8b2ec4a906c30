import { test } from "node:test";
import { create } from "@bufbuild/protobuf";
import { MemberSchema, type Member } from "@cranetrack/core/gen/cranetrack_pb.js";
import { expect } from "earl";
import { DiskWatch } from "./diskWatch.js";

/** A watch over records that are told one after the other. */
function watching() {
  const records = new Map<string, Member>();
  const down = new Set<string>();
  let changed = (): void => undefined;
  const membership = {
    all: () => [...records.values()],
    isAlive: (name: string) => !down.has(name),
    on: (_event: "changed", heed: () => void) => void (changed = heed),
  };
  const watch = new DiskWatch(membership);
  const tell = (name: string, disk: string, diskStarts: number, processIncarnation: string): void => {
    records.set(name, create(MemberSchema, { name, disk, diskStarts, processIncarnation }));
    changed();
  };
  return { watch, tell, down };
}

test("a disk that is started again and again counts", () => {
  const { watch, tell } = watching();
  expect(watch.isTrusted("d")).toEqual(true);
  for (const [starts, processIncarnation] of [
    [1, "a"],
    [1, "a"],
    [2, "b"],
    [5, "c"],
  ] as const) {
    tell("one", "d", starts, processIncarnation);
    expect(watch.isTrusted("d")).toEqual(true);
  }
});

test("an older copy of a disk does not count until it is started more often than any was seen", () => {
  const { watch, tell } = watching();
  tell("one", "d", 7, "a");
  tell("one", "d", 5, "b");
  expect([watch.isTrusted("d"), watch.isTrusted("e")]).toEqual([false, true]);
  tell("one", "d", 8, "c");
  expect(watch.isTrusted("d")).toEqual(true);
});

test("of two processes on copies of one disk neither counts, under one name or two", () => {
  const one = watching();
  one.tell("one", "d", 7, "a");
  one.tell("one", "d", 7, "b");
  expect(one.watch.isTrusted("d")).toEqual(false);
  one.tell("one", "d", 7, "a");
  expect(one.watch.isTrusted("d")).toEqual(false);
  const two = watching();
  two.tell("one", "d", 7, "a");
  two.tell("two", "d", 8, "b");
  expect(two.watch.isTrusted("d")).toEqual(false);
  two.down.add("one");
  two.tell("one", "", 0, "");
  expect(two.watch.isTrusted("d")).toEqual(true);
});

test("records of builds that count no starts are taken as they are", () => {
  const { watch, tell } = watching();
  tell("one", "d", 0, "");
  tell("one", "d", 0, "");
  expect(watch.isTrusted("d")).toEqual(true);
});
