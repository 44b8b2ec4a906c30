import { test } from "node:test";
import { create } from "@bufbuild/protobuf";
import { expect } from "earl";
import { EntrySchema } from "@cranetrack/core/gen/cranetrack_pb.js";
import { ReplicaLog } from "@cranetrack/core/replication/replicaLog.js";
import { Applier } from "./applier.js";
import { MemberLog } from "./memberLog.js";
import { entryKind, storeCompaction } from "./storeLog.js";

const entryCount = 100;
const applyMs = 3;

/** An applier for a log of empty entries, with a clock that the test advances. */
async function makeApplier(): Promise<{ applier: Applier; advanceClock: (ms: number) => void }> {
  let now = 0;
  const idle = { stop: () => undefined };
  const clock = { now: () => now, once: () => idle, every: () => idle };
  const log = new ReplicaLog({ read: () => [], write: () => Promise.resolve() }, "store");
  const entries = Array.from({ length: entryCount }, (_, i) =>
    create(EntrySchema, { index: i + 1, term: 0, kind: entryKind.noop }),
  );
  await log.append(entries);
  return {
    applier: new Applier(log, new MemberLog(log), storeCompaction, clock),
    advanceClock: (ms) => void (now += ms),
  };
}

// Guards against members that answer no heartbeat and no vote while they apply entries committed before their start.
test("many committed entries are applied in slices of bounded time, in order and each once", async () => {
  const { applier, advanceClock } = await makeApplier();
  applier.advanceCommit(entryCount);
  const applied: number[] = [];
  const sliceLengths: number[] = [];
  for (let isFullyApplied = false; !isFullyApplied;) {
    const before = applied.length;
    isFullyApplied = applier.applySlice(({ index }) => {
      applied.push(index);
      advanceClock(applyMs);
    });
    sliceLengths.push(applied.length - before);
  }
  expect(applied).toEqual(Array.from({ length: entryCount }, (_, i) => i + 1));
  expect(Math.max(...sliceLengths) * applyMs).toBeLessThanOrEqual(Applier.maxSliceMs + applyMs);
});

test("an entry that takes longer than a slice is applied completely, and none beyond the commit index", async () => {
  const { applier, advanceClock } = await makeApplier();
  applier.advanceCommit(2);
  const slow = (): void => advanceClock(10 * Applier.maxSliceMs);
  expect(applier.applySlice(slow)).toEqual(false);
  expect(applier.applied).toEqual(1);
  expect(applier.applySlice(slow)).toEqual(true);
  expect(applier.applySlice(slow)).toEqual(true);
  expect(applier.applied).toEqual(2);
});
