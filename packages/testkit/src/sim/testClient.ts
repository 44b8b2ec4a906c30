import { expect } from "earl";
import { Scenario } from "./scenario.js";
import { SimFleet } from "./simFleet.js";
import { SimLoad } from "./simLoad.js";
import { SimConfigurations } from "./simConfigurations.js";
import { documentTextOf } from "@cranetrack/core/configuration/documentBuilder.js";

/** A line of JSON as a client reads it. */
export type Line = Record<string, unknown>;

/** A client that a test drives by hand: one connection and the lines received on it. */
export class TestClient {
  readonly lines: Line[] = [];
  isClosed = false;
  reply: Line | undefined;
  close: () => void = () => undefined;

  constructor(fleet: SimFleet, node: string, session: string, body: object) {
    const handlers = {
      onLine: (line: Line) => void this.lines.push(line),
      onClosed: () => void (this.isClosed = true),
    };
    void fleet.port.openConnection(node, session, body, handlers).then((got) => {
      if ("close" in got) this.close = () => got.close();
      else this.reply = { status: got.status, ...got.body, retryAfterSeconds: got.retryAfterSeconds };
    });
  }

  linesOf(kind: string): Line[] {
    return this.lines.filter((line) => line["kind"] === kind);
  }

  /** Messages delivered, as `topic number`, or only the numbers of one topic. */
  deliveries(topic?: string): unknown[] {
    const messages = this.linesOf("message");
    if (topic === undefined) return messages.map((line) => `${String(line["topic"])} ${String(line["number"])}`);
    return messages.filter((line) => line["topic"] === topic).map((line) => line["number"]);
  }
}

/** A simulated fleet in service, and calls that are awaited under virtual time. */
export interface TestFleet {
  fleet: SimFleet;
  load: SimLoad;
  /** Sends a request to a node and runs the fleet until the reply is there. */
  ask(node: string, method: string, path: string, body?: string): Promise<Line>;
  publish(session: string, number: number, node?: string, topic?: string): Promise<Line>;
  /** Proposes the usual configuration with these spaces and changed contracts; returns the reply. */
  configuration(
    spaces: readonly string[],
    change?: (spaces: Record<string, Array<{ contract: Line }>>) => void,
  ): Promise<Line>;
}

/** Starts a simulated fleet and runs it until it serves, for tests that drive it by hand. */
export async function startTestFleet(seed: number, machines = Scenario.machines()): Promise<TestFleet> {
  const fleet = new SimFleet(seed, machines);
  const load = new SimLoad(fleet);
  expect(await load.start(0)).toEqual(true);
  const { shards } = fleet.find("vise-1")!.node;
  const isHeld = (): boolean => shards.all().length === 4 && shards.all().every(([, route]) => route.leader !== "");
  expect(await fleet.until(isHeld, 10_000)).toEqual(true);
  await fleet.run(1000);
  const ask: TestFleet["ask"] = async (node, method, path, body) => {
    let reply: Line | undefined;
    void fleet.port
      .call(node, method, path, body)
      .then((got) => (reply = { status: got.status, ...got.body, retryAfterSeconds: got.retryAfterSeconds }));
    expect(await fleet.until(() => reply !== undefined, 6000)).toEqual(true);
    return reply!;
  };
  const publish: TestFleet["publish"] = (session, number, node = "vise-1", topic = "notes/t1") => {
    const body = JSON.stringify({ topic, number, payload: `p${number}` });
    return ask(node, "POST", `/v1/sessions/${session}/messages`, body);
  };
  const configuration: TestFleet["configuration"] = (names, change) => {
    const spaces = SimConfigurations.usual();
    change?.(spaces);
    return ask("lathe-2", "PUT", "/v1/plan", documentTextOf(SimConfigurations.write(load.nextVersion, spaces, names)));
  };
  return { fleet, load, ask, publish, configuration };
}
