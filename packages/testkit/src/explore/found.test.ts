/**
 * Shrunk traces that the explorer found in earlier versions, and some written by hand that random walks hardly reach.
 * Each violates a property if the guard it is meant for is removed from the code.
 */
import { test } from "node:test";
import { expect } from "earl";
import { step, type Action } from "./action.js";
import { ModelWorld, type WorldSettings } from "./modelWorld.js";
import { Trace } from "./trace.js";

const three: WorldSettings = { machines: 3, voters: 3, syncsAtOnce: false };
const five: WorldSettings = { ...three, machines: 5 };

/** The violation of a trace, if any. Every action must be possible; otherwise the trace would prove nothing. */
async function violationOf(settings: WorldSettings, actions: readonly Action[]): Promise<string | undefined> {
  const world = await ModelWorld.replay(settings, actions);
  expect(world.performed).toEqual([...actions]);
  return (await Trace.play(settings, actions))?.violation.message;
}

/** m1 is elected by m0. */
const elected = [
  step("tick", 1),
  step("tick", 1),
  step("deliver", 1),
  step("deliver", 0, 1),
  step("sync", 1),
  step("deliver", 1),
  step("sync", 0),
  step("deliver", 0, 1),
  step("sync", 1),
  step("deliver", 1),
  step("sync", 0),
  step("deliver", 0, 1),
];

test("a follower uses the membership in its log before its disk has synced it", async () => {
  expect(
    await violationOf(five, [...elected, step("addLearner", 1, 3), step("deliver", 1), step("deliver", 1)]),
  ).toEqual(undefined);
});

test("a removed leader may lead once more if only its log has the new voters", async () => {
  // Voters are 0, 1 and 2, and 2 has lost its disk; 3 replaces 0. The joint membership is committed; the new set alone
  // is only in the log of 0, which then loses power. The others need the vote of 0, and 0 has the newest log.
  const removal = [
    step("loseDisk", 2),
    step("tick", 0),
    step("tick", 0),
    step("deliver", 0, 1),
    step("deliver", 1),
    step("deliver", 0, 1),
    step("deliver", 1),
    step("deliver", 0, 1),
    step("deliver", 0, 1),
    step("deliver", 1),
    step("deliver", 1),
    step("addLearner", 0, 3),
    step("tick", 0),
    step("deliver", 0, 1),
    step("deliver", 0, 1),
    step("deliver", 0, 3),
    step("deliver", 1),
    step("deliver", 1),
    step("deliver", 3),
    step("deliver", 0, 3),
    step("deliver", 3),
    step("drain", 0),
    step("tend", 0),
    step("deliver", 0, 1),
    step("deliver", 0, 3),
    step("deliver", 1),
    step("deliver", 3),
    step("deliver", 0, 1),
    step("deliver", 1),
    step("drop", 0, 1),
    step("drop", 0, 3),
    step("crash", 0),
  ];
  expect(await violationOf({ machines: 4, voters: 3, syncsAtOnce: true }, removal)).toEqual(undefined);
});

test("entries of an older term are not committed by counting replicas, even in a frame of their own", async () => {
  // Only 0 has a big entry of term 1; it loses power and leads term 2, in which the entry first reaches 2 alone.
  const olderTerm = [
    step("tick", 0),
    step("tick", 0),
    step("deliver", 0, 1),
    step("deliver", 0, 2),
    step("deliver", 1),
    step("deliver", 0, 1),
    step("deliver", 0, 2),
    step("deliver", 1),
    step("deliver", 0, 1),
    step("deliver", 0, 1),
    step("deliver", 0, 2),
    step("deliver", 0, 2),
    step("deliver", 1),
    step("deliver", 1),
    step("deliver", 2),
    step("deliver", 2),
    step("deliver", 2),
    step("deliver", 2),
    step("propose", 0, 0, 1),
    step("drop", 0, 1),
    step("drop", 0, 2),
    step("crash", 0),
    step("tick", 1),
    step("tick", 1),
    step("drop", 1),
    step("deliver", 1, 2),
    step("deliver", 2, 1),
    step("tick", 1),
    step("drop", 1),
    step("deliver", 1, 2),
    step("deliver", 2, 1),
    step("tick", 1),
    step("drop", 1),
    step("deliver", 1, 2),
    step("deliver", 2, 1),
    step("crash", 1),
    step("restart", 0),
    step("tick", 2),
    step("tick", 0),
    step("tick", 0),
    step("drop", 0, 1),
    step("deliver", 0, 2),
    step("deliver", 2),
    step("drop", 0, 1),
    step("deliver", 0, 2),
    step("deliver", 2),
    step("drop", 0, 1),
    step("drop", 0, 1),
    step("deliver", 0, 2),
    step("deliver", 0, 2),
    step("deliver", 2),
    step("deliver", 0, 2),
    step("deliver", 2),
    step("deliver", 0, 2),
    step("deliver", 2),
    step("deliver", 0, 2),
    step("deliver", 2),
    step("deliver", 2),
  ];
  expect(await violationOf({ machines: 3, voters: 3, syncsAtOnce: true }, olderTerm)).toEqual(undefined);
});

test("a voter answers a candidate even if it lacks the entry that made the candidate a voter", async () => {
  // 3 becomes a voter in addition to 0, 1 and 2. 2 missed all of it, 3 has one entry more than 1, and 0 loses its disk.
  const missedPromotion = [
    step("tick", 0),
    step("tick", 0),
    step("deliver", 0, 1),
    step("drop", 0, 2),
    step("deliver", 1),
    step("deliver", 0, 1),
    step("drop", 0, 2),
    step("deliver", 1),
    step("deliver", 0, 1),
    step("deliver", 0, 1),
    step("drop", 0, 2),
    step("drop", 0, 2),
    step("deliver", 1),
    step("deliver", 1),
    step("addLearner", 0, 3),
    step("tick", 0),
    step("deliver", 0, 1),
    step("deliver", 0, 1),
    step("drop", 0, 2),
    step("deliver", 0, 3),
    step("deliver", 1),
    step("deliver", 1),
    step("deliver", 3),
    step("deliver", 0, 3),
    step("deliver", 3),
    step("promote", 0, 3),
    step("deliver", 0, 1),
    step("deliver", 0, 3),
    step("propose", 0),
    step("deliver", 3),
    step("deliver", 0, 3),
    step("loseDisk", 0),
  ];
  expect(await violationOf({ machines: 4, voters: 3, syncsAtOnce: true }, missedPromotion)).toEqual(undefined);
});
