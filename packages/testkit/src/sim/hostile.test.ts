import { test } from "node:test";
import { create, ScalarType, type DescMessage, type Message, type MessageInitShape } from "@bufbuild/protobuf";
import { FrameSchema } from "@cranetrack/core/gen/cranetrack_pb.js";
import { Checksum } from "@cranetrack/core/rpc/checksum.js";
import { Wire, type BodyInit } from "@cranetrack/core/rpc/wire.js";
import { expect } from "earl";
import { Checker } from "../checker/checker.js";
import { Scenario } from "./scenario.js";
import type { SimRandom } from "./simRandom.js";
import { SimFleet } from "./simFleet.js";
import { SimLoad } from "./simLoad.js";

/** A well-formed message of a kind with values that nobody sane would send. */
function wild(schema: DescMessage, random: SimRandom, depth = 0): Message {
  const scalar = (type: ScalarType): unknown => {
    if (type === ScalarType.STRING)
      return random.pick([
        "",
        "store",
        "shard001",
        "anvil-1",
        "notes/t1",
        "{",
        "\u0000",
        "x".repeat(300),
        "../..",
        "sessions/a/owner",
      ]);
    if (type === ScalarType.BYTES)
      return Uint8Array.from({ length: Math.floor(random.draw() * 40) }, () => Math.floor(random.draw() * 256));
    if (type === ScalarType.BOOL) return random.draw() < 0.5;
    if (type === ScalarType.UINT32) return random.pick([0, 1, 3, 999, 4294967295]);
    return random.pick([0, 1, -1, 2.5, 1e9, 9007199254740991, NaN, Infinity]);
  };
  const init: Record<string, unknown> = {};
  for (const field of schema.fields) {
    if (field.oneof !== undefined) continue;
    if (field.fieldKind === "scalar") init[field.localName] = scalar(field.scalar);
    else if (field.fieldKind === "message" && depth < 2) init[field.localName] = wild(field.message, random, depth + 1);
    else if (field.fieldKind === "list" && depth < 2)
      init[field.localName] = Array.from({ length: Math.floor(random.draw() * 3) }, () =>
        field.listKind === "message"
          ? wild(field.message, random, depth + 1)
          : field.listKind === "scalar"
            ? scalar(field.scalar)
            : 0,
      );
  }
  for (const oneof of schema.oneofs) {
    const field = random.pick(oneof.fields);
    if (field.fieldKind === "message" && depth < 2)
      init[oneof.localName] = { case: field.localName, value: wild(field.message, random, depth + 1) };
  }
  return create(schema, init as MessageInitShape<typeof schema>);
}

/** By these a member of the fleet changes what it shares; processes trust one another so far. */
const memberKinds = new Set([
  "gossip",
  "append",
  "snapshot",
  "vote",
  "storeCall",
  "prepare",
  "founded",
  "forward",
  "publish",
]);

test("not even what only members may say crashes a process when its contents are wild", async () => {
  const fleet = new SimFleet(42, Scenario.machines());
  expect(await new SimLoad(fleet).start(4)).toEqual(true);
  const random = fleet.world.random.fork();
  const stranger = fleet.wires.attach("10.9.9.9:1", { isDead: false, pausedUntil: 0 });
  const ids = fleet.names
    .flatMap((name) => [fleet.find(name)!.node.membership.self.disk, fleet.find(name)!.node.membership.self.logDisk])
    .filter((id) => id !== "");
  const kinds = FrameSchema.oneofs[0]!.fields.filter((field) => memberKinds.has(field.localName));
  for (let i = 0; i < 2000; i += 1) {
    const kind = random.pick(kinds);
    const value = Object.assign(wild(kind.message!, random), random.draw() < 0.7 ? { receiver: random.pick(ids) } : {});
    stranger.send(
      fleet.addressOf(random.pick(fleet.names)),
      Wire.encode({
        id: i,
        from: "nobody",
        to: "",
        fromAddress: "10.9.9.9:1",
        body: { case: kind.localName, value } as BodyInit,
      }),
    );
    if (i % 20 === 0) await fleet.run(30);
  }
  await fleet.run(2000);
  for (const name of fleet.names) expect(fleet.find(name)!.node.membership.self.name).toEqual(name);
});

test(
  "well-formed frames with wild contents, from nobody the fleet knows, crash nothing and " +
    "change nothing that callers see",
  async () => {
    const fleet = new SimFleet(41, Scenario.machines());
    const load = new SimLoad(fleet);
    expect(await load.start(8)).toEqual(true);
    load.startPublishing(20);
    const stranger = fleet.wires.attach("10.9.9.9:1", { isDead: false, pausedUntil: 0 });
    const random = fleet.world.random.fork();
    const kinds = FrameSchema.oneofs[0]!.fields.filter((field) => !memberKinds.has(field.localName));
    for (let i = 0; i < 1500; i += 1) {
      const kind = random.pick(kinds);
      const body = { case: kind.localName, value: wild(kind.message!, random) } as BodyInit;
      stranger.send(
        fleet.addressOf(random.pick(fleet.names)),
        Wire.encode({
          id: i % 7,
          isReply: i % 5 === 0,
          from: random.pick(["nobody", "vise-1", "lathe-1"]),
          to: "",
          fromAddress: "10.9.9.9:1",
          body,
        }),
      );
      if (i % 10 === 0)
        stranger.send(
          fleet.addressOf(random.pick(fleet.names)),
          Checksum.prepend(Uint8Array.from({ length: 30 }, () => Math.floor(random.draw() * 256))),
        );
      if (i % 10 === 0) await fleet.run(30);
    }
    expect(await load.finishPublishes(12_000)).toEqual(true);
    await load.readConfiguration();
    expect(Checker.check(load.history.events, fleet.world.now)).toEqual([]);
  },
);
