/** What the explorer found in versions before, shrunk. Each trace breaks its property where the mend is taken out. */
import { test } from "node:test";
import { expect } from "earl";
import { act, type Action } from "./action.js";
import type { WorldSettings } from "./modelWorld.js";
import { Trace } from "./trace.js";

const three: WorldSettings = { machines: 3, voters: 3, syncsAtOnce: false };
const five: WorldSettings = { ...three, machines: 5 };

async function broken(settings: WorldSettings, actions: readonly Action[]): Promise<string | undefined> {
  return (await Trace.play(settings, actions))?.violation.message;
}

/** m1 is elected by m0. */
const elected = [
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
    act("drop", 0, 1),
    act("drop", 0, 3),
    act("crash", 0),
  ];
  expect(await broken({ machines: 4, voters: 3, syncsAtOnce: true }, leaves)).toEqual(undefined);
});
