import { test } from "node:test";
import { expect } from "earl";
import { Scenario } from "./scenario.js";
import { SimCrowd } from "./simCrowd.js";
import type { SimFleet } from "./simFleet.js";
import { startTestFleet } from "./testClient.js";

const clients = 600;
const topics = Array.from({ length: 60 }, (_, i) => `notes/t${i}`);
const publishesPerSecond = 55;
/** Shares of a core, as the users' small machines have them. */
const shares = { control: 0.3, edge: 0.12 } as const;
const arrivalMs = 2000;
/** Within this time after a pulse service has to be back. */
const backMs = 3000;
/** Of the publishes that are due after that. */
const leastGoodput = 0.9;

/** Six control nodes that store, nine edges, all with little processor time. */
async function startSmallMachines(seed: number): Promise<SimFleet> {
  const settings = { stores: true };
  const machines = Scenario.machines(6, 0, 9).map((one) => (one.role === "lathe" ? { ...one, settings } : one));
  const { fleet } = await startTestFleet(seed, machines);
  for (const name of fleet.withRole("lathe")) fleet.setProcessorShare(name, shares.control);
  for (const name of fleet.withRole("vise")) fleet.setProcessorShare(name, shares.edge);
  return fleet;
}

/** Guards against a storing leader that a crowd's joinings overload, and an overload that is taken for a failure. */
test("a crowd that comes within two seconds has joined three seconds later", async () => {
  const fleet = await startSmallMachines(81);
  const crowd = new SimCrowd(fleet, clients, topics);
  crowd.arrive(arrivalMs);
  await fleet.run(arrivalMs + backMs);
  expect(crowd.joined).toEqual(clients);
});

const pulses: Record<string, (fleet: SimFleet, crowd: SimCrowd) => void> = {
  "four of five connections are reset": (_fleet, crowd) => crowd.reset(0.8),
  "an edge is gone and comes back": (fleet) => {
    const edge = fleet.withRole("vise")[0]!;
    fleet.kill(edge);
    fleet.world.at(fleet.world.now + 1000, () => void fleet.start(edge));
  },
};

/** Guards against a fleet that stays overloaded after what had overloaded it is over. */
for (const [name, pulse] of Object.entries(pulses))
  test(`publishes are served again three seconds after a pulse: ${name}`, async () => {
    const fleet = await startSmallMachines(82);
    const crowd = new SimCrowd(fleet, clients, topics);
    crowd.arrive(4 * arrivalMs);
    await fleet.run(6 * arrivalMs);
    crowd.publish(publishesPerSecond);
    await fleet.run(2000);
    pulse(fleet, crowd);
    const pulseAt = fleet.world.now;
    await fleet.run(backMs + 4000);
    expect(crowd.goodput(pulseAt + backMs, fleet.world.now - 1000)).toBeGreaterThanOrEqual(leastGoodput);
  });
