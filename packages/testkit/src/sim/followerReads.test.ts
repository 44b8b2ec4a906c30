import { test } from "node:test";
import { FollowerReads } from "@cranetrack/log-storage/follows/followerReads.js";
import type { Frame } from "@cranetrack/core/gen/cranetrack_pb.js";
import { Wire } from "@cranetrack/core/rpc/wire.js";
import { expect } from "earl";
import { TestClient, startTestFleet, type TestFleet } from "./testClient.js";
import type { SimFleet } from "./simFleet.js";

const topic = "notes/t1";

interface Scene extends TestFleet {
  shard: number;
  leaderName: string;
  /** The shard's replica in the reader's region, which is not the leader's. */
  replica: string;
  edge: string;
  reader: TestClient;
  /** A message every 50 ms for a while, each sent until it is accepted; then the longest wait from a reply on. */
  play(ms: number): Promise<number>;
}

const serverOf = ({ fleet, edge }: Pick<Scene, "fleet" | "edge">): string => {
  const { node, edge: edgeNode } = fleet.find(edge)!;
  const tail = edgeNode!.streams.acquire(node.configuration.route(topic)!);
  const server = edgeNode!.streams.serverOf(tail);
  edgeNode!.streams.release(tail);
  return server;
};

/** A reader at an edge whose region's replica serves it, and a sender at an edge of the leader's region. */
async function scene(seed: number): Promise<Scene> {
  const all = await startTestFleet(seed);
  const { fleet } = all;
  const { node, edge: edgeNode } = fleet.find("vise-1")!;
  const shard = edgeNode!.streams.shardOf(node.configuration.route(topic)!.stream);
  const { leader: leaderName, set } = node.shards.find(shard);
  const edge = fleet.withRole("vise").find((name) => fleet.zoneOf(name) !== fleet.zoneOf(leaderName))!;
  const near = fleet.withRole("vise").find((name) => fleet.zoneOf(name) === fleet.zoneOf(leaderName))!;
  const replica = set!.members.find((member) => member.zone === fleet.zoneOf(edge))!.name;
  const reader = new TestClient(fleet, edge, "desk", { subscriptions: [{ topic }] });
  const pen = new TestClient(fleet, near, "pen", { subscriptions: [] });
  expect(
    await fleet.until(() => reader.linesOf("confirmed").length === 1 && pen.linesOf("open").length === 1, 5000),
  ).toEqual(true);
  expect(await fleet.until(() => serverOf({ fleet, edge }) === replica, 3000)).toEqual(true);
  await fleet.run(1000);
  const acceptedAt: number[] = [];
  const seenAt: number[] = [];
  const look = (): void => {
    while (seenAt.length < reader.deliveries().length) seenAt.push(fleet.world.now);
  };
  const play = async (ms: number): Promise<number> => {
    const end = fleet.world.now + ms;
    while (fleet.world.now < end) {
      const number = acceptedAt.length + 1;
      const body = JSON.stringify({ topic, number, payload: `p${number}` });
      let status = 0;
      void fleet.port.call(near, "POST", "/v1/sessions/pen/messages", body).then((got) => (status = got.status));
      while (status === 0) {
        await fleet.run(10);
        look();
      }
      if (status === 200) acceptedAt.push(fleet.world.now);
      for (let i = 0; i < 4; i += 1) {
        await fleet.run(10);
        look();
      }
    }
    for (let i = 0; i < 300 && reader.deliveries().length < acceptedAt.length; i += 1) {
      await fleet.run(10);
      look();
    }
    return Math.round(Math.max(...acceptedAt.map((at, i) => (seenAt[i] ?? Infinity) - at)));
  };
  return { ...all, shard, leaderName, replica, edge, reader, play };
}

/** Counts frames that push to an edge, by who sent them. */
function countPushes(fleet: SimFleet, edge: string): Map<string, number> {
  const counts = new Map<string, number>();
  fleet.wires.mutate = (_from, to, bytes) => {
    if (to !== fleet.addressOf(edge)) return undefined;
    const frame = Wire.decode(bytes);
    const isPush = frame?.body.case === "push" || frame?.body.case === "pushes";
    if (isPush) counts.set(frame.from, (counts.get(frame.from) ?? 0) + 1);
    return undefined;
  };
  return counts;
}

/** All messages came, each once and in order, and the client heard of no trouble. */
function expectWhole({ reader }: Scene): void {
  expect(reader.deliveries(topic).length > 20).toEqual(true);
  expect(reader.deliveries(topic)).toEqual(reader.deliveries(topic).map((_, i) => i + 1));
  expect([reader.linesOf("expired"), reader.linesOf("ended"), reader.linesOf("fault"), reader.isClosed]).toEqual([
    [],
    [],
    [],
    false,
  ]);
}

/** What a leader says of a shard's log, to one of its replicas; also where it comes through another node. */
const isOfLog = (frame: Frame | undefined): boolean => {
  if (frame?.body.case === "relay") return isOfLog(Wire.decode(frame.body.value.frame));
  return frame !== undefined && ["append", "snapshot", "commits"].includes(frame.body.case ?? "");
};

test("an edge is fed by its region's replica: the leader pushes it nothing, and counts its subscribers", async () => {
  const all = await scene(901);
  const { fleet, shard, leaderName, replica, edge } = all;
  const counts = countPushes(fleet, edge);
  expect((await all.play(4000)) <= 50).toEqual(true);
  expectWhole(all);
  expect([...counts.keys()]).toEqual([replica]);
  expect(fleet.find(replica)!.storage!.followerReads[shard]!.count).toEqual(1);
  const { service } = fleet.find(leaderName)!.storage!.leadership!.find(shard)!;
  const reply = service.count({ $typeName: "cranetrack.v1.CountRequest", shard, topics: [topic] });
  expect(reply.case === "countReply" && reply.value.counts?.map(({ count }) => count)).toEqual([1]);
});

interface FollowerFault {
  what: string;
  seed: number;
  /** From a reply to the reader, in ms. */
  maxMs: number;
  begin: (scene: Scene) => void;
  end?: (scene: Scene) => void;
}
const faults: FollowerFault[] = [
  {
    what: "the replica hears nothing from its holder any more",
    seed: 902,
    maxMs: 1000,
    begin: ({ fleet, replica }) =>
      (fleet.wires.mutate = (_from, to, bytes) =>
        to === fleet.addressOf(replica) && isOfLog(Wire.decode(bytes)) ? [] : undefined),
    end: ({ fleet }) => fleet.wires.heal(),
  },
  {
    what: "the replica is killed",
    seed: 903,
    maxMs: 1000,
    begin: ({ fleet, replica }) => fleet.kill(replica),
    end: ({ fleet, replica }) => void fleet.start(replica),
  },
  {
    what: "the replica is frozen",
    seed: 904,
    maxMs: 1500,
    begin: ({ fleet, replica }) => fleet.pause(replica, 4000),
  },
  {
    what: "the replica's machine is wiped and comes back blank",
    seed: 905,
    maxMs: 1000,
    begin: ({ fleet, replica }) => fleet.wipe(replica),
    end: ({ fleet, replica }) => void fleet.start(replica),
  },
  {
    what: "the replica hears its holder late",
    seed: 906,
    maxMs: 1500,
    begin: ({ fleet, replica }) =>
      (fleet.wires.mutate = (_from, to, bytes) =>
        to === fleet.addressOf(replica) && isOfLog(Wire.decode(bytes)) ? [{ bytes, delay: 650 }] : undefined),
    end: ({ fleet }) => fleet.wires.heal(),
  },
  {
    what: "the holder is killed and another takes over",
    seed: 907,
    maxMs: 1000,
    begin: ({ fleet, leaderName }) => fleet.kill(leaderName),
    end: ({ fleet, leaderName }) => void fleet.start(leaderName),
  },
  {
    what: "the holder is frozen past its lease and another takes over",
    seed: 908,
    maxMs: 1000,
    begin: ({ fleet, leaderName }) => fleet.pause(leaderName, 6000),
  },
];

for (const { what, seed, maxMs, begin, end } of faults) {
  test(`${what}: nothing is lost, doubled or out of order, and deliveries go on within ${maxMs} ms`, async () => {
    const all = await scene(seed);
    const { fleet, leaderName } = all;
    await all.play(1500);
    begin(all);
    await all.play(5000);
    end?.(all);
    const worst = await all.play(3000);
    expectWhole(all);
    expect(worst <= maxMs).toEqual(true);
    // In the end whoever feeds the edge is in its region again, be it a replica or the new leader.
    const isNear = (): boolean => fleet.zoneOf(serverOf(all) || leaderName) === fleet.zoneOf(all.edge);
    expect(await fleet.until(isNear, 40_000)).toEqual(true);
    await fleet.run(1000);
    const counts = countPushes(fleet, all.edge);
    expect((await all.play(2000)) <= maxMs).toEqual(true);
    expectWhole(all);
    expect([...counts.keys()].map((name) => fleet.zoneOf(name))).toEqual([fleet.zoneOf(all.edge)]);
  });
}

test("a replica that hears its leader again and again only for a moment is not followed again each time", async () => {
  const all = await scene(909);
  const { fleet, replica, shard } = all;
  let follows = 0;
  fleet.wires.mutate = (_from, to, bytes) => {
    if (to !== fleet.addressOf(replica)) return undefined;
    const frame = Wire.decode(bytes);
    const { body } = frame!;
    if (body.case === "follow" && body.value.isAtReplica && body.value.isFull) follows += 1;
    const isDeaf = fleet.world.now % 3000 < FollowerReads.leaderTimeoutMs + 800;
    return isDeaf && isOfLog(frame) ? [] : undefined;
  };
  await all.play(24_000);
  fleet.wires.mutate = undefined;
  expectWhole(all);
  expect(follows <= 8).toEqual(true);
  expect(fleet.find(replica)!.storage!.followerReads[shard]!.mayServeReads).toEqual(true);
});
