import { test } from "node:test";
import { proposeConfiguration } from "@cranetrack/control/configuration/proposeConfiguration.js";
import { readDocument } from "@cranetrack/control/configuration/readDocument.js";
import { expect } from "earl";
import { Scenario } from "./scenario.js";
import { SimFleet } from "./simFleet.js";
import { SimLoad } from "./simLoad.js";
import { documentTextOf } from "@cranetrack/core/configuration/documentBuilder.js";

/** Operators' orders with a document of their own, as the platform's operators send them, at any node. */
class Orders {
  private constructor(
    readonly fleet: SimFleet,
    readonly load: SimLoad,
  ) {}

  static async at(seed: number): Promise<Orders> {
    const fleet = new SimFleet(seed, Scenario.machines());
    const load = new SimLoad(fleet);
    expect(await load.start(0)).toEqual(true);
    return new Orders(fleet, load);
  }

  static document(version: number, content: string): Uint8Array {
    return Buffer.from(JSON.stringify({ version, content }));
  }

  static configuration(version: number, budget = 1): Uint8Array {
    const configuration = SimLoad.configuration(version, ["notes"]) as {
      spaces: Array<{ program: Array<{ contract: object }> }>;
    };
    for (const rule of configuration.spaces[0]!.program)
      rule.contract = { ...rule.contract, fault_budget: { machines: budget } };
    return Buffer.from(documentTextOf(configuration));
  }

  async resultOf<T>(asked: Promise<T>): Promise<T> {
    let got: { value: T } | undefined;
    void asked.then((value) => (got = { value }));
    expect(await this.fleet.until(() => got !== undefined, 30_000)).toEqual(true);
    return got!.value;
  }

  /** The status of one order at one node. */
  async put(name: string, version: number, content: string, budget = 1): Promise<number> {
    const { node } = this.fleet.find(name)!;
    const asked = proposeConfiguration(node, Orders.configuration(version, budget), Orders.document(version, content));
    return (await this.resultOf(asked)).status;
  }

  async readBack(name: string): Promise<string> {
    const read = await this.resultOf(readDocument(this.fleet.find(name)!.node));
    return read.outcome === "done" ? Buffer.from(read.document).toString() : read.outcome;
  }
}

test("a taken order is acknowledged again at any node, hundreds of versions later; another content never", async () => {
  const orders = await Orders.at(501);
  expect(await orders.put("lathe-1", 10, "a")).toEqual(200);
  expect(await orders.put("lathe-2", 10, "b")).toEqual(409);
  for (let version = 11; version <= 211; version += 1) expect(await orders.put("lathe-3", version, "a")).toEqual(200);
  for (const name of orders.fleet.withRole("lathe")) {
    expect(await orders.put(name, 10, "a")).toEqual(200);
    expect(await orders.put(name, 10, "b")).toEqual(409);
  }
  expect(await orders.readBack("lathe-1")).toEqual(Buffer.from(Orders.document(211, "a")).toString());
});

test("an older order never seen is acknowledged and changes nothing; its first content is the only one", async () => {
  const orders = await Orders.at(502);
  expect(await orders.put("lathe-1", 20, "a")).toEqual(200);
  const rivals = ["a", "b", "c"].map((content, i) => {
    const { node } = orders.fleet.find(`lathe-${i + 1}`)!;
    return proposeConfiguration(node, Orders.configuration(15), Orders.document(15, content));
  });
  const statuses = (await orders.resultOf(Promise.all(rivals))).map(({ status }) => status);
  expect(statuses.toSorted()).toEqual([200, 409, 409]);
  const first = ["a", "b", "c"][statuses.indexOf(200)]!;
  for (const name of orders.fleet.withRole("lathe")) {
    expect(await orders.put(name, 15, first)).toEqual(200);
    expect(await orders.put(name, 15, "d")).toEqual(409);
  }
  expect(await orders.readBack("lathe-2")).toEqual(Buffer.from(Orders.document(20, "a")).toString());
});

test("a taken order is the same order where settings differ, and with its keys in another order", async () => {
  const orders = await Orders.at(503);
  expect(await orders.put("lathe-1", 10, "a", 1)).toEqual(200);
  for (const budget of [0, 2, 9]) expect(await orders.put("lathe-2", 10, "a", budget)).toEqual(200);
  const { node } = orders.fleet.find("lathe-3")!;
  const turned = Buffer.from('{ "content": "a", "version": 1.0e1 }');
  expect((await orders.resultOf(proposeConfiguration(node, Orders.configuration(10), turned))).status).toEqual(200);
  expect(await orders.put("lathe-3", 10, "b", 0)).toEqual(409);
});

test("a taken order is acknowledged again when machines are missing; a new one is not refused for good", async () => {
  const orders = await Orders.at(504);
  expect(await orders.put("lathe-1", 10, "a")).toEqual(200);
  expect(await orders.put("lathe-1", 11, "a", 0)).toEqual(200);
  expect(await orders.put("lathe-2", 12, "a", 2)).toEqual(503);
  expect(await orders.put("lathe-2", 10, "a", 2)).toEqual(200);
});

test("a node that is cut off confirms nothing and refuses nothing, whatever the order is", async () => {
  const orders = await Orders.at(505);
  const { fleet } = orders;
  expect(await orders.put("lathe-1", 10, "a")).toEqual(200);
  expect(await orders.put("lathe-1", 12, "a")).toEqual(200);
  const cut = fleet.leader!;
  const [other] = fleet.withRole("lathe").filter((name) => name !== cut);
  fleet.isolate(cut, fleet.names, "both");
  const all: Array<[version: number, content: string]> = [
    [10, "a"],
    [10, "b"],
    [11, "a"],
    [12, "a"],
    [12, "b"],
    [13, "a"],
  ];
  for (const beforeMs of [0, 300, 5000]) {
    await fleet.run(beforeMs);
    for (const [version, content] of all)
      expect([503, 504].includes(await orders.put(cut, version, content))).toEqual(true);
  }
  expect(await orders.put(other!, 13, "b")).toEqual(200);
  expect(await orders.readBack(cut)).toEqual("away");
  fleet.wires.heal();
  await fleet.run(3000);
  expect(await orders.put(cut, 13, "b")).toEqual(200);
  expect(await orders.put(cut, 10, "b")).toEqual(409);
  expect(await orders.readBack(cut)).toEqual(Buffer.from(Orders.document(13, "b")).toString());
});
