/**
 * Traces that the explorer found in versions before, shrunk, and some that walks hardly come by, made by hand. Each
 * breaks a property where its guard is taken out.
 */
import { test } from "node:test";
import { expect } from "earl";
import { step, type Action } from "./action.js";
import { ModelWorld, type WorldSettings } from "./modelWorld.js";
import { Trace } from "./trace.js";

const three: WorldSettings = { machines: 3, voters: 3, syncsAtOnce: false };
const five: WorldSettings = { ...three, machines: 5 };

/** What a trace breaks, of which each action has to mean something, or it shows nothing. */
async function broken(settings: WorldSettings, actions: readonly Action[]): Promise<string | undefined> {
  const world = await ModelWorld.replay(settings, actions);
  expect(world.taken).toEqual([...actions]);
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

test("a follower goes by the members its log names before its disk has synced them", async () => {
  expect(await broken(five, [...elected, step("addLearner", 1, 3), step("deliver", 1), step("deliver", 1)])).toEqual(
    undefined,
  );
});

test("a leader that leaves may lead once more, where only its log has the new voters", async () => {
  // Voters 0, 1 and 2, of which 2 has lost its disk; 3 takes the place of 0. The joint members are committed, the new
  // set alone is only in the log of 0, which then loses power. The others need its vote, and it has the newest log.
  const leaves = [
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
  expect(await broken({ machines: 4, voters: 3, syncsAtOnce: true }, leaves)).toEqual(undefined);
});

test("entries of an older term are not committed by counting, though they come in a frame of their own", async () => {
  // 0 has a big entry of term 1 alone, loses power and leads term 2, in which the entry reaches 2 by itself at first.
  const older = [
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
  expect(await broken({ machines: 3, voters: 3, syncsAtOnce: true }, older)).toEqual(undefined);
});

test("a voter that lacks the entry which names a candidate answers it", async () => {
  // 3 becomes a voter beside 0, 1 and 2; 2 has missed all of it, 3 has one entry more than 1, and 0 loses its disk.
  const unnamed = [
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
  expect(await broken({ machines: 4, voters: 3, syncsAtOnce: true }, unnamed)).toEqual(undefined);
});
