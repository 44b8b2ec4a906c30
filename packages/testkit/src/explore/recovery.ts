import { step } from "./action.js";
import { Choices } from "./choices.js";
import type { ModelWorld } from "./modelWorld.js";
import { Violation } from "./violation.js";

/** The end of all troubles: every machine runs, every frame arrives, every write is synced. */
export const Recovery = {
  /** How often the clocks move on before all must have caught up. */
  rounds: 60,

  /** After it a leader must take a change, and every member that runs must have it. */
  async run(world: ModelWorld): Promise<void> {
    for (const kind of ["thaw", "mend", "restart"] as const)
      for (const action of Choices.of(world, kind)) await world.take(action);
    for (let round = 0; round < Recovery.rounds; round += 1) {
      for (const action of Choices.of(world, "join")) await world.take(action);
      await calm(world);
      if (await isCaughtUp(world)) return;
      // The clocks of different machines differ: somebody asks for votes first.
      for (let at = 0; at < world.machines.length; at += 1)
        if (at === round % world.machines.length || world.machines[at]!.member?.isActingLeader === true)
          await world.take(step("tick", at));
    }
    const states = world.machines.map(({ member }) => `${member?.name} ${member?.raft.term}/${member?.raft.commit}`);
    throw new Violation("all catch up", `not after ${Recovery.rounds} rounds without troubles: ${states.join(", ")}`);
  },
};

/** Delivers and syncs until nothing is under way. */
async function calm(world: ModelWorld): Promise<void> {
  for (let step = 0; step < 2000; step += 1) {
    const [sync] = Choices.of(world, "sync");
    const [deliver] = Choices.of(world, "deliver");
    const next = sync ?? deliver;
    if (next === undefined) return;
    await world.take(next);
  }
  throw new Violation("all catch up", "the members never stop sending");
}

async function isCaughtUp(world: ModelWorld): Promise<boolean> {
  const at = world.machines.findIndex(({ member }) => member?.raft.isLeader === true);
  if (at === -1) return false;
  await world.take(step("propose", at));
  await calm(world);
  await world.take(step("tick", at));
  await calm(world);
  const { raft } = world.machines[at]!.member!;
  if (!raft.isLeader) return false;
  const members = [...raft.members.voters, ...raft.members.learners].map((one) => one.id);
  const running = world.machines.filter((machine) => members.includes(machine.diskId));
  return running.every(
    ({ member }) => member?.raft.commit === raft.commit && raft.commit === world.observer.committed.last,
  );
}
