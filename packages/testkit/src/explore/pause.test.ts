/** A member whose process was paused reads the messages sent meanwhile before it takes any silence for a failure. */
import { test } from "node:test";
import { expect } from "earl";
import { step, type Action } from "./action.js";
import { ModelWorld } from "./modelWorld.js";

const settings = { machines: 3, voters: 3, syncsAtOnce: true };

/** m1 is elected by m0, and both know it. */
const elected: readonly Action[] = [
  step("tick", 1),
  step("tick", 1),
  step("deliver", 1),
  step("deliver", 0, 1),
  step("deliver", 1),
  step("deliver", 0, 1),
  step("deliver", 1),
  step("deliver", 0, 1),
];

/** The leader known to a machine after these actions. */
async function leaderKnownTo(machine: number, actions: readonly Action[]): Promise<string> {
  const world = await ModelWorld.replay(settings, actions);
  expect(world.performed).toEqual([...actions]);
  return world.machines[machine]!.member!.raft.leaderName;
}

// Guards against elections started by busy members that have unread heartbeats of the leader in their sockets.
test("a paused follower campaigns only if no heartbeat was waiting for it", async () => {
  const frozen = [...elected, step("freeze", 0), step("tick", 1), step("thaw", 0)];
  expect(await leaderKnownTo(0, frozen)).toEqual("m1");
  expect(await leaderKnownTo(0, [...frozen, step("deliver", 1)])).toEqual("m1");
  // Without a message from the leader it campaigns at the next tick.
  expect(await leaderKnownTo(0, [...frozen, step("tick", 0)])).toEqual("");
});

test("a paused leader steps down only if no replies were waiting for it", async () => {
  const frozen = [...elected, step("freeze", 1), step("thaw", 1)];
  expect(await leaderKnownTo(1, frozen)).toEqual("m1");
  expect(await leaderKnownTo(1, [...frozen, step("tick", 1), step("tick", 1)])).toEqual("");
});
