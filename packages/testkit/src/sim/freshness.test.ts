import { test } from "node:test";
import { Wire } from "@cranetrack/core/rpc/wire.js";
import { FeedFollower } from "@cranetrack/core/feeds/feedFollower.js";
import { Rendezvous } from "@cranetrack/core/membership/rendezvous.js";
import { ConfigurationKey } from "@cranetrack/core/keys/configurationKey.js";
import { viewOf } from "@cranetrack/edge/fanout/viewOf.js";
import { expect } from "earl";
import { startTestFleet } from "./testClient.js";
import type { SimFleet } from "./simFleet.js";
import { SimConfigurations } from "./simConfigurations.js";
import { proposeUntilAccepted, nodesActingOnOlderVersion, staleActionBoundMs } from "./staleNodes.js";
import { documentTextOf } from "@cranetrack/core/configuration/documentBuilder.js";

const inForceAt = (fleet: SimFleet, name: string): number => {
  const kept = fleet.find(name)?.control?.raft?.metadata.get(ConfigurationKey.name);
  return kept === undefined ? 0 : ConfigurationKey.versionOf(kept.value);
};

test("a member that hears its leader but gets none of the entries hands out nothing, to nobody", async () => {
  const all = await startTestFleet(501);
  const { fleet } = all;
  const behind = fleet.withRole("lathe").find((name) => name !== fleet.leader)!;
  const before = await proposeUntilAccepted(all, fleet.leader!);
  await fleet.run(1000);
  // As a wire does that carries small frames only.
  fleet.wires.mutate = (_from, to, bytes) => {
    const body = to === fleet.addressOf(behind) ? Wire.decode(bytes)?.body : undefined;
    return body?.case === "append" && body.value.entries.length > 0 ? [] : undefined;
  };
  const version = await proposeUntilAccepted(all, fleet.leader!);
  expect([before > 0, version > before, inForceAt(fleet, behind)]).toEqual([true, true, before]);
  await fleet.run(staleActionBoundMs);
  expect(nodesActingOnOlderVersion(fleet, version)).toEqual([]);
  // One that knows nothing yet, in the zone of the member that is behind.
  const edge = fleet.withRole("vise").find((name) => fleet.zoneOf(name) === fleet.zoneOf(behind))!;
  fleet.kill(edge);
  await fleet.run(500);
  const { node } = fleet.start(edge);
  const versions = new Set<number>();
  for (let i = 0; i < 400; i += 1) {
    await fleet.run(20);
    if (node.feed.revision > 0) versions.add(node.configuration.version);
  }
  expect([...versions]).toEqual([version]);
  fleet.wires.heal();
  expect(await fleet.until(() => inForceAt(fleet, behind) === version, 3000)).toEqual(true);
});

test("a node that starts is told nothing older than what was acknowledged before, by a member that lags", async () => {
  const all = await startTestFleet(504);
  const { fleet } = all;
  const late = fleet.withRole("lathe").find((name) => name !== fleet.leader)!;
  fleet.wires.mutate = (_from, to, bytes) =>
    to === fleet.addressOf(late) && Wire.decode(bytes)?.body.case === "append" ? [{ bytes, delay: 300 }] : undefined;
  const edge = fleet.withRole("vise").find((name) => fleet.zoneOf(name) === fleet.zoneOf(late))!;
  for (let round = 0; round < 8; round += 1) {
    await fleet.run(2000);
    fleet.kill(edge);
    await fleet.run(500);
    const version = await proposeUntilAccepted(all, fleet.leader!);
    const { feed, configuration } = fleet.start(edge).node;
    while (feed.revision === 0) await fleet.run(5);
    expect([round, configuration.version]).toEqual([round, version]);
  }
});

test("a node that stood still takes nothing for fresh that lay in its buffers meanwhile", async () => {
  const all = await startTestFleet(502);
  const { fleet } = all;
  const [frozen] = fleet.withRole("vise");
  await fleet.run(1000);
  fleet.pause(frozen!, 20_000);
  const wakesAt = fleet.world.now + 20_000;
  await fleet.run(2000);
  const version = await proposeUntilAccepted(all, fleet.leader!);
  await fleet.run(wakesAt - fleet.world.now);
  const { feed, configuration } = fleet.find(frozen!)!.node;
  expect(configuration.version < version).toEqual(true);
  const isOldAndFresh: number[] = [];
  for (let ms = 0; ms < 3000; ms += 1) {
    await fleet.run(1);
    if (feed.isFresh && configuration.version < version) isOldAndFresh.push(ms);
  }
  expect(isOldAndFresh).toEqual([]);
  expect([feed.isFresh, configuration.version]).toEqual([true, version]);
});

test("a member and a node that stood still together hand on nothing old when they wake", async () => {
  const all = await startTestFleet(503);
  const { fleet } = all;
  const together = [fleet.withRole("lathe").find((name) => name !== fleet.leader)!, ...fleet.withRole("vise")];
  await fleet.run(1000);
  for (const name of together) fleet.pause(name, 20_000);
  const wakesAt = fleet.world.now + 20_000;
  await fleet.run(3000);
  const version = await proposeUntilAccepted(all, fleet.leader!);
  expect(version > 0).toEqual(true);
  await fleet.run(wakesAt - fleet.world.now);
  const old = new Set<string>();
  for (let ms = 0; ms < 3000; ms += 1) {
    await fleet.run(1);
    for (const name of nodesActingOnOlderVersion(fleet, version)) old.add(`${name} ${ms}`);
  }
  expect([...old]).toEqual([]);
});

test("a refused feed is asked for elsewhere at once, also where the refusal is lost", async () => {
  const { fleet } = await startTestFleet(505);
  const [alone] = fleet.withRole("lathe").filter((name) => name !== fleet.leader);
  const edge = fleet.withRole("vise").find((name) => fleet.zoneOf(name) === fleet.zoneOf(alone!))!;
  fleet.kill(edge);
  // It hears none but the edge, whom its refusals do not reach; nobody carries frames round.
  const [own, other] = [fleet.addressOf(alone!), fleet.addressOf(edge)];
  let asked = 0;
  fleet.wires.mutate = (from, to, bytes) => {
    const body = Wire.decode(bytes)?.body.case;
    if (body === "relay") return [];
    if (to === own) asked += body === "feedOpen" ? 1 : 0;
    const isRefusal = body === "feedClose" || body === "fault";
    if (from === own) return to === other && !isRefusal ? undefined : [];
    return to === own && from !== other ? [] : undefined;
  };
  await fleet.run(2000);
  const { feed } = fleet.start(edge).node;
  const startedAt = fleet.world.now;
  expect(await fleet.until(() => feed.revision > 0, 5000)).toEqual(true);
  expect([asked > 0, fleet.world.now - startedAt < 1500]).toEqual([true, true]);
});

test("a shard's leader whose feed is silent accepts nothing for a space that may be gone", async () => {
  const { fleet, load, ask } = await startTestFleet(506);
  const { node } = fleet.find("vise-1")!;
  const route = node.configuration.route("notes/t1")!;
  const { stream } = route;
  const shard = Rendezvous.shardOf(stream, node.parts.settings.shards);
  const { leader: leaderName } = node.shards.find(shard);
  const publish = async (number: number): Promise<string | undefined> => {
    const value = {
      shard,
      topic: "notes/t1",
      session: "direct",
      number,
      payload: Buffer.from("x"),
      ...viewOf(node, route),
    };
    let outcome: string | undefined;
    void node.rpc.call(leaderName, { case: "publish", value }, 800).then((body) => {
      outcome = body?.case === "publishReply" ? body.value.outcome : "nothing";
    });
    await fleet.until(() => outcome !== undefined, 2000);
    return outcome;
  };
  expect(await publish(1)).toEqual("accepted");
  // Its leases are renewed and its replicas answer; only news do not reach it.
  fleet.wires.mutate = (_from, to, bytes) =>
    to === fleet.addressOf(leaderName) && Wire.decode(bytes)?.body.case === "feedPush" ? [] : undefined;
  const configuration = SimConfigurations.write(load.nextVersion, SimConfigurations.usual(), ["notices", "extra"]);
  expect((await ask(fleet.leader!, "PUT", "/v1/plan", documentTextOf(configuration)))["status"]).toEqual(200);
  await fleet.run(FeedFollower.staleMs + 100);
  expect(fleet.find(leaderName)!.node.configuration.route("notes/t1") === undefined).toEqual(false);
  expect(await publish(2)).toEqual("away");
});
