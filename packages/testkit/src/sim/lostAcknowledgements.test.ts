import { test } from "node:test";
import { expect } from "earl";
import { TestClient, startTestFleet, type Line, type TestFleet } from "./testClient.js";

/** A kind of space: how it orders its messages and whether it keeps them. */
interface SpaceKind {
  readonly space: string;
  readonly keep: number;
  readonly order: "sender" | "topic";
}

const spaceKinds: readonly SpaceKind[] = [
  { space: "orders", keep: 120, order: "sender" },
  { space: "news", keep: 120, order: "topic" },
  { space: "moves", keep: 0, order: "sender" },
  { space: "scores", keep: 0, order: "topic" },
];
/** What happens to the shard's leader after the acknowledgement was lost. */
const leaderFaults = ["killed", "stopped", "frozen"] as const;
/** Where the publisher comes back; its session is at vise-1 before. */
const returns = { "the same edge": "vise-1", "another edge": "vise-2" } as const;

/** Long enough for the shard to change its leader. */
const freezeMs = 6000;
/** When publishers come back: before the leader is missed, while the shard has none, and under the next leader. */
const returnDelaysMs = [0, 300, 700, 1100, 1500, 1900, 2300, 2700, 3100, 3500];
const repeatIntervalMs = 100;
/** For how long a publisher repeats the number: as long as the message's deadline may last. */
const repeatMs = 4000;
/** Time within which a new number has to be accepted, from the fault. */
const servedMs = 20_000;

/** A publisher whose acknowledgement was lost, and what it is answered after its return. */
class ReturningPublisher {
  readonly #test: TestFleet;
  readonly #topic: string;
  readonly session: string;
  /** Statuses of all answers to the repeated number. */
  readonly statuses: number[] = [];
  isServed = false;

  constructor(test: TestFleet, topic: string, session: string) {
    this.#test = test;
    this.#topic = topic;
    this.session = session;
  }

  /** Comes back at an edge after a delay, repeats its number, and then publishes new ones until one is accepted. */
  async comeBack(edge: string, delayMs: number): Promise<void> {
    await this.#wait(delayMs);
    const client = new TestClient(this.#test.fleet, edge, this.session, { subscriptions: [] });
    while (client.linesOf("open").length === 0) await this.#wait(10);
    const end = this.#test.fleet.world.now + repeatMs;
    while (this.#test.fleet.world.now < end && this.statuses.at(-1) !== 200) {
      this.statuses.push(await this.#publish(edge, 1));
      await this.#wait(repeatIntervalMs);
    }
    for (let number = 2; !this.isServed; number += 1) {
      this.isServed = (await this.#publish(edge, number)) === 200;
      await this.#wait(repeatIntervalMs);
    }
  }

  async #publish(edge: string, number: number): Promise<number> {
    const body = JSON.stringify({ topic: this.#topic, number, payload: `${number}` });
    const path = `/v1/sessions/${this.session}/messages`;
    return (await this.#test.fleet.port.call(edge, "POST", path, body)).status;
  }

  #wait(ms: number): Promise<void> {
    const { world } = this.#test.fleet;
    return new Promise((resolve) => void world.at(world.now + ms, resolve));
  }
}

async function connect(
  { fleet }: TestFleet,
  edge: string,
  session: string,
  topics: string[] = [],
): Promise<TestClient> {
  const client = new TestClient(fleet, edge, session, { subscriptions: topics.map((topic) => ({ topic })) });
  await fleet.until(() => client.linesOf("open").length > 0, 5000);
  return client;
}

function leaderOf({ fleet }: TestFleet, topic: string): string {
  const { node, edge } = fleet.find("vise-3")!;
  return node.shards.find(edge!.streams.shardOf(node.configuration.route(topic)!.stream)).leader;
}

function injectFault({ fleet }: TestFleet, leader: string, fault: (typeof leaderFaults)[number]): void {
  if (fault === "killed") fleet.kill(leader);
  else if (fault === "stopped") fleet.stopGracefully(leader);
  else fleet.pause(leader, freezeMs);
}

const received = (client: TestClient): string[] =>
  client.linesOf("message").map((line) => `${String(line["sender"])} ${String(line["number"])}`);

/** Whether two readers received the messages that both have in one order. */
function agree(one: readonly string[], other: readonly string[]): boolean {
  const common = one.filter((message) => other.includes(message));
  return common.join() === other.filter((message) => one.includes(message)).join();
}

async function startWithSpaces(seed: number): Promise<TestFleet> {
  const test = await startTestFleet(seed);
  const names = spaceKinds.map(({ space }) => space);
  const reply = await test.configuration(names, (spaces: Record<string, Array<{ contract: Line }>>) => {
    for (const { space, keep, order } of spaceKinds)
      spaces[space] = [{ when: {}, contract: { keep, order, fault_budget: {} } } as { contract: Line }];
  });
  expect(reply["status"]).toEqual(200);
  await test.fleet.run(1000);
  return test;
}

// Guards against ORDER (review/7 and 8) on every path: whatever becomes of the leader, and wherever and whenever the
// publisher comes back, an accepted number whose acknowledgement was lost is not promised to be undone, nor put behind
// what others received after it.
let seed = 9400;
for (const { space, keep, order } of spaceKinds)
  for (const fault of leaderFaults)
    for (const [where, edge] of Object.entries(returns)) {
      const ownSeed = (seed += 1);
      const kept = keep > 0 ? "kept" : "live";
      const name = `${kept} space of order ${order}, leader ${fault}, publishers back at ${where}`;
      test(`lost acknowledgements: ${name}`, async () => {
        const test = await startWithSpaces(ownSeed);
        const { fleet } = test;
        const topic = `${space}/t1`;
        const reader = await connect(test, "vise-3", "desk", [topic]);
        expect(await fleet.until(() => reader.linesOf("confirmed").length === 1, 5000)).toEqual(true);
        const publishers = returnDelaysMs.map((_, i) => new ReturningPublisher(test, topic, `pen-${i}`));
        for (const { session } of publishers) {
          await connect(test, "vise-1", session);
          expect((await test.publish(session, 1, "vise-1", topic))["receipt"]).toEqual("accepted");
        }
        injectFault(test, leaderOf(test, topic), fault);
        const late = await connect(test, "vise-2", "shelf", [topic]);
        publishers.forEach((publisher, i) => void publisher.comeBack(edge, returnDelaysMs[i]!));
        expect(await fleet.until(() => publishers.every(({ isServed }) => isServed), servedMs)).toEqual(true);
        await fleet.run(2000);
        const statuses = publishers.flatMap((publisher) => publisher.statuses);
        expect(statuses.filter((status) => status !== 200 && status !== 504)).toEqual([]);
        if (keep > 0)
          expect(publishers.map((publisher) => publisher.statuses.at(-1))).toEqual(publishers.map(() => 200));
        for (const client of [reader, late])
          expect(received(client).filter((message, i, all) => all.indexOf(message) !== i)).toEqual([]);
        if (order === "topic") expect(agree(received(reader), received(late))).toEqual(true);
        expect(reader.isClosed).toEqual(false);
      });
    }
