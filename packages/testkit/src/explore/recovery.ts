import { step } from "./action.js";
import { Choices } from "./choices.js";
import type { ModelWorld } from "./modelWorld.js";
import { Violation } from "./violation.js";

/** The end of all faults: every machine runs, every frame arrives, every write is synced. */
export const Recovery = {
  /** Number of rounds of ticks within which all members must have caught up. */
  rounds: 60,

  /**
   * Ends all faults; then a leader must commit a change and every running member must get it.
   * @throws Violation if they don't within `rounds`.
   */
  async run(world: ModelWorld): Promise<void> {
    for (const kind of ["thaw", "mend", "restart"] as const)
      for (const action of Choices.enabled(world, kind)) await world.perform(action);
    for (let round = 0; round < Recovery.rounds; round += 1) {
      for (const action of Choices.enabled(world, "join")) await world.perform(action);
      await settle(world);
      if (await isCaughtUp(world)) return;
      // Clocks differ: each round advances only those of leaders and of one machine, so that one campaigns first.
      for (let at = 0; at < world.machines.length; at += 1)
        if (at === round % world.machines.length || world.machines[at]!.member?.isActingLeader === true)
          await world.perform(step("tick", at));
    }
    const states = world.machines.map(
      ({ member }) => `${member?.name} ${member?.raft.term}/${member?.raft.commitIndex}`,
    );
    throw new Violation("all catch up", `not after ${Recovery.rounds} rounds without faults: ${states.join(", ")}`);
  },
};

/** Syncs writes and delivers frames until none is pending. */
async function settle(world: ModelWorld): Promise<void> {
  for (let performed = 0; performed < 2000; performed += 1) {
    const [sync] = Choices.enabled(world, "sync");
    const [deliver] = Choices.enabled(world, "deliver");
    const next = sync ?? deliver;
    if (next === undefined) return;
    await world.perform(next);
  }
  throw new Violation("all catch up", "the members never stop sending");
}

async function isCaughtUp(world: ModelWorld): Promise<boolean> {
  const at = world.machines.findIndex(({ member }) => member?.raft.isLeader === true);
  if (at === -1) return false;
  await world.perform(step("propose", at));
  await settle(world);
  await world.perform(step("tick", at));
  await settle(world);
  const { raft } = world.machines[at]!.member!;
  if (!raft.isLeader) return false;
  const memberIds = [...raft.members.voters, ...raft.members.learners].map((member) => member.id);
  const running = world.machines.filter((machine) => memberIds.includes(machine.diskId));
  return running.every(
    ({ member }) =>
      member?.raft.commitIndex === raft.commitIndex && raft.commitIndex === world.observer.committed.lastIndex,
  );
}
