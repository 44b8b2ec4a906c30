import { test } from "node:test";
import { Wire } from "@cranetrack/core/rpc/wire.js";
import { expect } from "earl";
import type { Machine } from "../fleet/deployments.js";
import { Scenario } from "./scenario.js";
import { SimFleet } from "./simFleet.js";

type Address = `${string}:${number}`;
const founders = [1, 2, 3].map((i): Address => `10.0.0.${i}:1`);
/** How long a successor has, from its start, before the next loss may come; and the silence that goes of it. */
const syncMs = 4100;
const replaceVoterMs = Math.round(syncMs / 3);

/** Three control nodes found the store; the others join it or stand by. Two edges. */
function fleetOf(seed: number, count: number, settings: Machine["settings"] = {}): SimFleet {
  const own = { founders, replaceVoterMs, stores: true, ...settings };
  const controlNodes = Scenario.machines(count, 0, 0).map((one): Machine => ({ ...one, settings: own }));
  return new SimFleet(seed, [...controlNodes, ...Scenario.machines(0, 0, 2)]);
}

const members = (fleet: SimFleet) =>
  fleet.leader === undefined ? undefined : fleet.find(fleet.leader)!.control!.raft!.members;
const voters = (fleet: SimFleet): string[] => (members(fleet)?.voters ?? []).map((one) => one.name).sort();
const isVoting = (fleet: SimFleet, ...names: string[]): boolean =>
  voters(fleet).join() === [...names].sort().join() && fleet.find(fleet.leader!)!.control!.raft!.hasStableMembers;

async function founded(
  seed: number,
  count: number,
  later: readonly string[] = [],
  settings: Machine["settings"] = {},
): Promise<SimFleet> {
  const fleet = fleetOf(seed, count, settings);
  for (const name of fleet.names) if (!later.includes(name)) fleet.start(name);
  expect(await fleet.until(() => isVoting(fleet, "lathe-1", "lathe-2", "lathe-3"), 6000)).toEqual(true);
  await fleet.run(2000);
  return fleet;
}

/** Keeps writing under keys of its own and remembers which writes were acknowledged. */
class Writer {
  /** A write has an outcome by then. */
  static readonly timeoutMs = 1300;
  readonly acknowledged: string[] = [];
  #isOver = false;
  constructor(fleet: SimFleet, pauseMs = 100) {
    const next = (i: number): void => {
      if (this.#isOver) return;
      const key = `kept/${i}`;
      const { store } = fleet.find("vise-1")!.node;
      void store.txn({ puts: [{ key, value: Buffer.alloc(2000, i) }] }).then(({ outcome }) => {
        if (outcome === "done") this.acknowledged.push(key);
        fleet.world.at(fleet.world.now + pauseMs, () => next(i + 1));
      });
    };
    next(1);
  }
  stop(): void {
    this.#isOver = true;
  }
}

/** All that was acknowledged can be read, by a read that a majority confirms. */
async function readsAll(fleet: SimFleet, writer: Writer, timeoutMs = 8000): Promise<boolean> {
  writer.stop();
  // A write under way may be acknowledged behind the read, which then need not have it: it ends first.
  await fleet.run(Writer.timeoutMs);
  let found: Set<string> | undefined;
  let isAsking = false;
  const look = (): boolean => {
    if (!isAsking && found === undefined) {
      isAsking = true;
      void fleet
        .find("vise-1")!
        .node.store.read([], ["kept/"])
        .then((read) => {
          isAsking = false;
          if (read.outcome === "done") found = new Set(read.kvs!.map((kv) => kv.key));
        });
    }
    return found !== undefined;
  };
  if (!(await fleet.until(look, timeoutMs))) return false;
  return writer.acknowledged.every((key) => found!.has(key));
}

for (const [i, second] of ["lathe-1", "lathe-2", "lathe-4"].entries())
  test(`a voter is replaced by a blank machine, and ${second} loses its disk as the others lose power`, async () => {
    const fleet = await founded(101 + i, 4, ["lathe-4"]);
    const writer = new Writer(fleet);
    await fleet.run(1000);
    fleet.removeForGood("lathe-3");
    fleet.start("lathe-4");
    await fleet.run(syncMs);
    const before = writer.acknowledged.length;
    expect(before > 5).toEqual(true);
    fleet.removeForGood(second);
    for (const name of ["lathe-1", "lathe-2", "lathe-4"]) fleet.kill(name);
    await fleet.run(300);
    for (const name of ["lathe-1", "lathe-2", "lathe-4"]) fleet.revive(name);
    expect(await fleet.until(() => fleet.leader !== undefined, 4000)).toEqual(true);
    expect(await readsAll(fleet, writer)).toEqual(true);
  });

test("a joining replica that is lost again at any moment of being taken in stops nothing", async () => {
  for (let afterMs = 400; afterMs <= 2800; afterMs += 120) {
    const fleet = await founded(110, 4, ["lathe-4"]);
    fleet.removeForGood("lathe-3");
    fleet.start("lathe-4");
    await fleet.run(afterMs);
    const isIn = voters(fleet).includes("lathe-4");
    fleet.removeForGood("lathe-4");
    await fleet.run(2500);
    const writer = new Writer(fleet);
    await fleet.run(1000);
    expect({ afterMs, isIn, isServed: writer.acknowledged.length > 0 }).toEqual({ afterMs, isIn, isServed: true });
    expect(await readsAll(fleet, writer)).toEqual(true);
  }
});

test("a voter whose machine comes back blank is replaced by it without waiting for the silence of a loss", async () => {
  const fleet = await founded(111, 3, [], { replaceVoterMs: 60_000 });
  fleet.wipe("lathe-2");
  await fleet.run(200);
  fleet.start("lathe-2");
  const { diskId: id } = fleet.find("lathe-2")!.control!.founding;
  const isIn = (): boolean =>
    members(fleet)?.voters.some((one) => one.id === id) === true && isVoting(fleet, "lathe-1", "lathe-2", "lathe-3");
  expect(await fleet.until(isIn, 2000)).toEqual(true);
});

for (const step of ["learner", "joint", "new set"] as const)
  for (const isLeaderLost of [true, false])
    test(`voters are exchanged though ${isLeaderLost ? "the leader" : "a follower"} falls at: ${step}`, async () => {
      const fleet = await founded(112, 5, ["lathe-4", "lathe-5"]);
      const writer = new Writer(fleet, 30);
      await fleet.run(500);
      const [out, other] = ["lathe-1", "lathe-2", "lathe-3"].filter((name) => name !== fleet.leader);
      const leader = fleet.leader!;
      fleet.removeForGood(out!);
      fleet.start("lathe-4");
      const isAt = (): boolean => {
        const now = fleet.find(leader)!.control!.raft!.members;
        if (step === "learner") return now.learners.length > 0;
        if (step === "joint") return now.oldVoters.length > 0;
        return now.oldVoters.length === 0 && now.voters.some((one) => one.name === "lathe-4");
      };
      while (!isAt()) {
        if (fleet.world.now > 30_000) throw new Error(`never came to: ${step}`);
        await fleet.run(1);
      }
      const fallen = isLeaderLost ? leader : other!;
      fleet.kill(fallen);
      await fleet.run(600);
      fleet.revive(fallen);
      const rest = ["lathe-1", "lathe-2", "lathe-3", "lathe-4"].filter((name) => name !== out);
      expect(await fleet.until(() => isVoting(fleet, ...rest), 8000)).toEqual(true);
      expect(await readsAll(fleet, writer)).toEqual(true);
    });

for (const slowMs of [0, 90, 160, 220]) {
  test(`a blank machine that is ${slowMs} ms slower is taken in while changes never cease`, async () => {
    const late: number[] = [];
    for (const seed of [1801, 1802, 1803]) {
      const fleet = await founded(seed, 3);
      const writers = [new Writer(fleet, 20), new Writer(fleet, 20)];
      await fleet.run(500);
      const lost = fleet.withRole("lathe").find((name) => name !== fleet.leader)!;
      const before = members(fleet)!.voters.find((one) => one.name === lost)!.id;
      fleet.wipe(lost);
      await fleet.run(1500);
      fleet.start(lost);
      if (slowMs > 0) fleet.wires.extraLatencyMs.set(fleet.addressOf(lost), slowMs);
      const isIn = (): boolean => {
        const present = members(fleet)?.voters.find((one) => one.name === lost)?.id;
        return present !== undefined && present !== before && isVoting(fleet, ...fleet.withRole("lathe"));
      };
      if (!(await fleet.until(isIn, 3000))) late.push(seed);
      for (const writer of writers) writer.stop();
    }
    expect(late).toEqual([]);
  });
}

test("a joining replica that is sent nothing never votes, and makes room for the next", async () => {
  const fleet = await founded(116, 5, ["lathe-4", "lathe-5"]);
  fleet.wires.mutate = (_from, to, bytes) =>
    to === fleet.addressOf("lathe-4") && Wire.decode(bytes)?.body.case === "append" ? [] : undefined;
  fleet.removeForGood("lathe-3");
  fleet.start("lathe-4");
  for (let ms = 0; ms < 4000; ms += 10) {
    await fleet.run(10);
    expect({ ms, isIn: voters(fleet).includes("lathe-4") }).toEqual({ ms, isIn: false });
  }
  fleet.removeForGood("lathe-4");
  fleet.start("lathe-5");
  expect(await fleet.until(() => isVoting(fleet, "lathe-1", "lathe-2", "lathe-5"), 6000)).toEqual(true);
});

test("five voters grow from three founders at once, and two that are lost at once are replaced at once", async () => {
  const fleet = fleetOf(113, 7, { voters: 5, controlNodes: 5 });
  for (const name of fleet.names) if (!["lathe-6", "lathe-7"].includes(name)) fleet.start(name);
  const all = [1, 2, 3, 4, 5].map((i) => `lathe-${i}`);
  expect(await fleet.until(() => isVoting(fleet, ...all), 6000)).toEqual(true);
  const writer = new Writer(fleet);
  await fleet.run(500);
  for (const name of ["lathe-1", "lathe-4"]) fleet.removeForGood(name);
  for (const name of ["lathe-6", "lathe-7"]) fleet.start(name);
  await fleet.run(syncMs);
  expect(isVoting(fleet, "lathe-2", "lathe-3", "lathe-5", "lathe-6", "lathe-7")).toEqual(true);
  for (const name of ["lathe-3", "lathe-5"]) fleet.removeForGood(name);
  for (const name of ["lathe-2", "lathe-6", "lathe-7"]) fleet.kill(name);
  await fleet.run(300);
  for (const name of ["lathe-2", "lathe-6", "lathe-7"]) fleet.revive(name);
  expect(await readsAll(fleet, writer)).toEqual(true);
});

test("a voter that was cut off until it was replaced hears that it is out, and is counted once", async () => {
  const fleet = await founded(114, 4);
  fleet.isolate("lathe-2", fleet.names, "both");
  expect(await fleet.until(() => isVoting(fleet, "lathe-1", "lathe-3", "lathe-4"), 5000)).toEqual(true);
  fleet.wires.heal();
  const isOut = (): boolean => !fleet.find("lathe-2")!.node.membership.self.isInStore;
  expect(await fleet.until(isOut, 5000)).toEqual(true);
  await fleet.run(3000);
  expect(isVoting(fleet, "lathe-1", "lathe-3", "lathe-4")).toEqual(true);
  fleet.removeForGood("lathe-4");
  expect(await fleet.until(() => isVoting(fleet, "lathe-1", "lathe-2", "lathe-3"), 5000)).toEqual(true);
});

test("in a joint configuration a leader that is cut off from the old set commits nothing", async () => {
  const fleet = fleetOf(115, 5, { voters: 5, controlNodes: 5 });
  fleet.startAll();
  const all = [1, 2, 3, 4, 5].map((i) => `lathe-${i}`);
  expect(await fleet.until(() => isVoting(fleet, ...all), 6000)).toEqual(true);
  await fleet.run(2000);
  const old = fleet.leader!;
  const raft = fleet.find(old)!.control!.raft!;
  const before = raft.commitIndex;
  const self = raft.members.voters.find((one) => one.id === raft.diskId)!;
  fleet.isolate(old, fleet.names, "both");
  // The new set is the cut-off leader alone: it could agree with itself.
  raft.changeMembers([self], []);
  for (let ms = 0; ms < 6000; ms += 20) {
    await fleet.run(20);
    const wasLeader = raft.isLeader && ms > 1000;
    expect({ ms, wasLeader, commit: raft.commitIndex }).toEqual({ ms, wasLeader: false, commit: before });
  }
  expect(fleet.leader !== undefined && fleet.leader !== old).toEqual(true);
  fleet.wires.heal();
  expect(await fleet.until(() => raft.isInTouch && raft.members.voters.length === 5, 4000)).toEqual(true);
  expect(isVoting(fleet, ...all)).toEqual(true);
});

for (const who of ["leader", "follower"] as const)
  test(`a ${who} is stopped for good beside its successor, and the next disk is lost at once`, async () => {
    const fleet = await founded(who === "leader" ? 117 : 118, 4, ["lathe-4"]);
    const writer = new Writer(fleet);
    fleet.start("lathe-4");
    await fleet.run(syncMs);
    const [first, second] = ["lathe-1", "lathe-2", "lathe-3"].filter((name) => name !== fleet.leader);
    const [leaving, lost] = who === "leader" ? [fleet.leader!, first!] : [first!, second!];
    fleet.stopGracefully(leaving);
    expect(await fleet.until(() => fleet.find(leaving) === undefined, 4500)).toEqual(true);
    fleet.removeForGood(leaving);
    fleet.removeForGood(lost);
    const rest = fleet.withRole("lathe").filter((name) => fleet.find(name) !== undefined);
    for (const name of rest) fleet.kill(name);
    await fleet.run(300);
    for (const name of rest) fleet.revive(name);
    expect(await fleet.until(() => fleet.leader !== undefined, 4000)).toEqual(true);
    expect(await readsAll(fleet, writer)).toEqual(true);
  });

test("a stop waits for nobody where nobody stands by, and all that are stopped at once stop", async () => {
  const fleet = await founded(119, 3);
  const stopped = async (...names: string[]): Promise<number> => {
    const at = fleet.world.now;
    for (const name of names) fleet.stopGracefully(name);
    expect(await fleet.until(() => names.every((name) => fleet.find(name) === undefined), 5000)).toEqual(true);
    return fleet.world.now - at;
  };
  expect((await stopped("lathe-1")) < 1000).toEqual(true);
  fleet.revive("lathe-1");
  await fleet.run(3000);
  const larger = await founded(120, 5);
  const at = larger.world.now;
  for (const name of larger.withRole("lathe")) larger.stopGracefully(name);
  const isStill = (): boolean => larger.withRole("lathe").every((name) => larger.find(name) === undefined);
  expect(await larger.until(isStill, 4500)).toEqual(true);
  expect(larger.world.now - at < 4500).toEqual(true);
});
