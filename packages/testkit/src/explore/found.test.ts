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
