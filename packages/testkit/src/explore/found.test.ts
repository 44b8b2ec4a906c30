/**
 * Traces that the explorer found in versions before, shrunk, and some that walks hardly come by, made by hand. Each
 * breaks a property where its guard is taken out.
 */
import { test } from "node:test";
import { expect } from "earl";
import { act, type Action } from "./action.js";
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
  act("tick", 1),
  act("tick", 1),
  act("deliver", 1),
  act("deliver", 0, 1),
  act("sync", 1),
  act("deliver", 1),
  act("sync", 0),
  act("deliver", 0, 1),
  act("sync", 1),
  act("deliver", 1),
  act("sync", 0),
  act("deliver", 0, 1),
];

test("a follower goes by the members its log names before its disk has synced them", async () => {
  expect(await broken(five, [...elected, act("addLearner", 1, 3), act("deliver", 1), act("deliver", 1)])).toEqual(
    undefined,
  );
});

test("a leader that leaves may lead once more, where only its log has the new voters", async () => {
  // Voters 0, 1 and 2, of which 2 has lost its disk; 3 takes the place of 0. The joint members are committed, the new
  // set alone is only in the log of 0, which then loses power. The others need its vote, and it has the newest log.
  const leaves = [
    act("loseDisk", 2),
    act("tick", 0),
    act("tick", 0),
    act("deliver", 0, 1),
    act("deliver", 1),
    act("deliver", 0, 1),
    act("deliver", 1),
    act("deliver", 0, 1),
    act("deliver", 0, 1),
    act("deliver", 1),
    act("deliver", 1),
    act("addLearner", 0, 3),
    act("tick", 0),
    act("deliver", 0, 1),
    act("deliver", 0, 1),
    act("deliver", 0, 3),
    act("deliver", 1),
    act("deliver", 1),
    act("deliver", 3),
    act("deliver", 0, 3),
    act("deliver", 3),
    act("drain", 0),
    act("tend", 0),
    act("deliver", 0, 1),
    act("deliver", 0, 3),
    act("deliver", 1),
    act("deliver", 3),
    act("deliver", 0, 1),
    act("deliver", 1),
    act("drop", 0, 1),
    act("drop", 0, 3),
    act("crash", 0),
  ];
  expect(await broken({ machines: 4, voters: 3, syncsAtOnce: true }, leaves)).toEqual(undefined);
});

test("entries of an older term are not committed by counting, though they come in a frame of their own", async () => {
  // 0 has a big entry of term 1 alone, loses power and leads term 2, in which the entry reaches 2 by itself at first.
  const older = [
    act("tick", 0),
    act("tick", 0),
    act("deliver", 0, 1),
    act("deliver", 0, 2),
    act("deliver", 1),
    act("deliver", 0, 1),
    act("deliver", 0, 2),
    act("deliver", 1),
    act("deliver", 0, 1),
    act("deliver", 0, 1),
    act("deliver", 0, 2),
    act("deliver", 0, 2),
    act("deliver", 1),
    act("deliver", 1),
    act("deliver", 2),
    act("deliver", 2),
    act("deliver", 2),
    act("deliver", 2),
    act("propose", 0, 0, 1),
    act("drop", 0, 1),
    act("drop", 0, 2),
    act("crash", 0),
    act("tick", 1),
    act("tick", 1),
    act("drop", 1),
    act("deliver", 1, 2),
    act("deliver", 2, 1),
    act("tick", 1),
    act("drop", 1),
    act("deliver", 1, 2),
    act("deliver", 2, 1),
    act("tick", 1),
    act("drop", 1),
    act("deliver", 1, 2),
    act("deliver", 2, 1),
    act("crash", 1),
    act("restart", 0),
    act("tick", 2),
    act("tick", 0),
    act("tick", 0),
    act("drop", 0, 1),
    act("deliver", 0, 2),
    act("deliver", 2),
    act("drop", 0, 1),
    act("deliver", 0, 2),
    act("deliver", 2),
    act("drop", 0, 1),
    act("drop", 0, 1),
    act("deliver", 0, 2),
    act("deliver", 0, 2),
    act("deliver", 2),
    act("deliver", 0, 2),
    act("deliver", 2),
    act("deliver", 0, 2),
    act("deliver", 2),
    act("deliver", 0, 2),
    act("deliver", 2),
    act("deliver", 2),
  ];
  expect(await broken({ machines: 3, voters: 3, syncsAtOnce: true }, older)).toEqual(undefined);
});

test("a voter that lacks the entry which names a candidate answers it", async () => {
  // 3 becomes a voter beside 0, 1 and 2; 2 has missed all of it, 3 has one entry more than 1, and 0 loses its disk.
  const unnamed = [
    act("tick", 0),
    act("tick", 0),
    act("deliver", 0, 1),
    act("drop", 0, 2),
    act("deliver", 1),
    act("deliver", 0, 1),
    act("drop", 0, 2),
    act("deliver", 1),
    act("deliver", 0, 1),
    act("deliver", 0, 1),
    act("drop", 0, 2),
    act("drop", 0, 2),
    act("deliver", 1),
    act("deliver", 1),
    act("addLearner", 0, 3),
    act("tick", 0),
    act("deliver", 0, 1),
    act("deliver", 0, 1),
    act("drop", 0, 2),
    act("deliver", 0, 3),
    act("deliver", 1),
    act("deliver", 1),
    act("deliver", 3),
    act("deliver", 0, 3),
    act("deliver", 3),
    act("promote", 0, 3),
    act("deliver", 0, 1),
    act("deliver", 0, 3),
    act("propose", 0),
    act("deliver", 3),
    act("deliver", 0, 3),
    act("loseDisk", 0),
  ];
  expect(await broken({ machines: 4, voters: 3, syncsAtOnce: true }, unnamed)).toEqual(undefined);
});
