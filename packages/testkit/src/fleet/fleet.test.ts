import { spawn } from "node:child_process";
import { mkdirSync, mkdtempSync, readFileSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { after, before, test } from "node:test";
import { expect } from "earl";
import { Deployments } from "./deployments.js";
import type { PortReply } from "../clients/clientPort.js";
import { ChaosDrill } from "./chaosDrill.js";
import { Fleet } from "./fleet.js";
import { Load } from "./load.js";
import { programOf } from "./programOf.js";
import { documentTextOf } from "@cranetrack/core/configuration/documentBuilder.js";

const folder = mkdtempSync(join(tmpdir(), "cranetrack-fleet-"));
const fleet = new Fleet(
  Deployments.find("small"),
  folder,
  Deployments.machines(Deployments.find("small")).map((machine) => machine.name),
);
const codeOf = (reply: PortReply): unknown => (reply.body["error"] as { code?: unknown } | undefined)?.code;
interface Ran {
  status: number | null;
  out: string;
  err: string;
}
/** Runs a program asynchronously: the fleet's relays run in this process and must not be blocked. */
const run = (program: string, ...args: string[]): Promise<Ran> =>
  new Promise((resolve) => {
    const child = spawn(process.execPath, [programOf(program), ...args], { timeout: 60_000 });
    let [out, err] = ["", ""];
    child.stdout.on("data", (chunk) => (out += String(chunk)));
    child.stderr.on("data", (chunk) => (err += String(chunk)));
    child.on("close", (status) => resolve({ status, out, err }));
  });

before(async () => {
  await fleet.start();
  await fleet.waitForShardLeaders();
});

after(() => fleet.stop());

test("bad settings and flags: exit 2 and one line per problem; a foreign data folder: exit 3", async () => {
  const bad = join(folder, "bad.json");
  writeFileSync(
    bad,
    JSON.stringify({
      name: "x",
      role: "vise",
      zone: "z",
      address: "127.0.0.1:1",
      http: "127.0.0.1:1",
      seeds: ["nowhere"],
      lathes: 0,
      colour: 1,
    }),
  );
  const refused = await run("vise", "--settings", bad);
  expect(refused.status).toEqual(2);
  expect(
    refused.err
      .trim()
      .split("\n")
      .map((line) => line.split(":")[0])
      .sort(),
  ).toEqual(["colour", "lathes", "seeds.0"]);
  expect((await run("vise", "--settings", join(folder, "none.json"))).status).toEqual(2);
  expect((await run("lathe", "--settings", fleet.settingsOf("vise-1"))).err).toEqual(
    expect.includes("this program is a lathe"),
  );
  expect((await run("vise", "--settings", fleet.settingsOf("vise-1"), "--zone")).status).toEqual(2);
  expect((await run("vise", "--settings", fleet.settingsOf("vise-1"), "--check")).out).toEqual("settings are good\n");
  const foreign = join(folder, "foreign");
  mkdirSync(foreign);
  writeFileSync(join(foreign, "data.mdb"), "this is no database of ours, whatever its name says".repeat(400));
  const settings = {
    ...(JSON.parse(readFileSync(fleet.settingsOf("anvil-1"), "utf8")) as object),
    data: foreign,
    log: join(folder, "foreign.log"),
  };
  const path = join(folder, "foreign.json");
  writeFileSync(path, JSON.stringify(settings));
  const ran = await run("anvil", "--settings", path);
  expect(ran.status).toEqual(3);
  expect(ran.err).toEqual(expect.includes("cannot be used"));
});

test("bad input of clients and operators gets a 4xx reply with an error code, and no process exits", async () => {
  const load = new Load(fleet);
  await load.proposeConfiguration(Deployments.configuration(fleet.deployment, 1));
  const [edge, other] = fleet.withRole("vise") as [string, string];
  const lines: Array<Record<string, unknown>> = [];
  let isOpen = false;
  // On a busy machine an edge may lose its lease and close its connections; the guest then reconnects.
  const connect = async (): ReturnType<typeof fleet.clientPort.openConnection> => {
    let isClosed = false;
    const opened = await fleet.clientPort.openConnection(
      edge,
      "guest",
      { subscriptions: [{ topic: "notes/t1" }] },
      {
        onLine: (line) => {
          lines.push(line);
          isOpen ||= line["kind"] === "confirmed";
        },
        onClosed: () => {
          isClosed = true;
        },
      },
    );
    expect("close" in opened).toEqual(true);
    while (!isOpen && !isClosed) await fleet.call(edge, "GET", "/healthz");
    return opened;
  };
  let connection = await connect();
  while (!isOpen) connection = await connect();
  const publish = (body: string, node = edge, session = "guest"): Promise<PortReply> =>
    fleet.call(node, "POST", `/v1/sessions/${session}/messages`, body);
  const message = { topic: "notes/t1", number: 1, payload: "x" };
  const whole = JSON.stringify(message);
  const cases: Array<[Promise<PortReply>, number, string]> = [
    [publish("{"), 400, "malformed"],
    [publish(whole.slice(0, -3)), 400, "malformed"],
    [publish(JSON.stringify({ ...message, number: "1" })), 400, "malformed"],
    [publish(JSON.stringify({ ...message, more: 1 })), 400, "malformed"],
    [publish(JSON.stringify({ ...message, topic: "no topic" })), 400, "malformed"],
    [publish(JSON.stringify({ ...message, topic: "notopic" })), 404, "unknown-topic"],
    [publish(JSON.stringify({ ...message, topic: "nowhere/t" })), 404, "unknown-topic"],
    [publish(JSON.stringify({ ...message, topic: "notices/t1" })), 403, "not-a-publisher"],
    [publish(JSON.stringify({ ...message, number: 2, payload: "x".repeat(9000) })), 413, "too-large"],
    [publish("x".repeat(1_300_000)), 413, "too-large"],
    [publish(whole, other, "stranger"), 409, "no-link"],
    [fleet.call(edge, "POST", "/v1/sessions/bad%20name/link", "{}"), 400, "malformed"],
    [
      fleet.call(edge, "POST", "/v1/sessions/a/link", JSON.stringify({ subscriptions: [{ topic: "no topic" }] })),
      400,
      "malformed",
    ],
    [fleet.call(edge, "POST", "/v1/sessions/guest/subscriptions", JSON.stringify({ topic: 7 })), 400, "malformed"],
    [fleet.call(edge, "GET", "/v1/nothing"), 404, "unknown-path"],
    [fleet.call("anvil-1", "DELETE", "/v1/plan"), 405, "method-not-allowed"],
    [
      fleet.call("anvil-1", "PUT", "/v1/plan", JSON.stringify({ mark: 2, spaces: [{ name: "A b" }] })),
      422,
      "invalid-plan",
    ],
    [
      fleet.call(other, "PUT", "/v1/plan", documentTextOf(Deployments.configuration(fleet.deployment, 0))),
      422,
      "invalid-plan",
    ],
    [fleet.call("lathe-2", "PUT", "/v1/machines/nobody/emptying"), 404, "unknown-machine"],
  ];
  for (const [asked, status, code] of cases) {
    const reply = await asked;
    expect([reply.status, codeOf(reply)]).toEqual([status, code]);
  }
  expect((await publish(JSON.stringify({ ...message, number: 3 }), other)).status).toEqual(200);
  while (!lines.some((line) => line["kind"] === "message")) await fleet.call(edge, "GET", "/healthz");
  expect(lines.filter((line) => line["kind"] === "message").map((line) => line["number"])).toEqual([3]);
  if ("close" in connection) connection.close();
  expect(fleet.unexpectedExits).toEqual([]);
});

test("a changed settings file is applied without a signal; a bad one changes nothing and is reported", async () => {
  const path = fleet.settingsOf("vise-1");
  const good = readFileSync(path, "utf8");
  const faultOf = async (): Promise<string> =>
    ((await fleet.call("vise-1", "GET", "/v1/status")).body["faults"] as { settings: string }).settings;
  writeFileSync(path, "{ broken");
  while (!(await faultOf()).includes("the old settings stay")) await fleet.call("vise-1", "GET", "/healthz");
  expect((await fleet.call("vise-1", "GET", "/readyz")).status).toEqual(200);
  writeFileSync(path, JSON.stringify({ ...(JSON.parse(good) as object), mostLinks: 0 + 1 }));
  while ((await faultOf()) !== "") await fleet.call("vise-1", "GET", "/healthz");
  const connections = await Promise.all(
    [1, 2].map((i) =>
      fleet.clientPort.openConnection(
        "vise-1",
        `crowd-${i}`,
        {},
        { onLine: () => undefined, onClosed: () => undefined },
      ),
    ),
  );
  const full = connections.find((connection) => !("close" in connection)) as PortReply;
  expect([full.status, codeOf(full)]).toEqual([503, "full"]);
  for (const connection of connections) if ("close" in connection) connection.close();
  writeFileSync(path, good);
  fleet.signal("vise-1", "SIGHUP");
});

test("cranetrackctl: status, configurations, drains and runbooks against a fleet, with their exit codes", async () => {
  const ctl = (...args: string[]): Promise<Ran> =>
    run("cranetrackctl", ...args, "--node", `127.0.0.1:9,${fleet.httpOf("anvil-1")}`);
  const status = await ctl("status");
  expect([status.status, status.out.includes("lathe-3"), status.out.includes("leads")]).toEqual([0, true, true]);
  const configuration = join(folder, "plan.json");
  const text = documentTextOf(Deployments.configuration(fleet.deployment, 50));
  writeFileSync(configuration, text);
  expect((await ctl("configuration", "apply", configuration)).out).toEqual("version 50 accepted\n");
  expect((await ctl("configuration", "get")).out).toEqual(`${text}\n`);
  writeFileSync(configuration, JSON.stringify({ mark: 51, spaces: [{ name: "x" }] }));
  const refused = await ctl("configuration", "apply", configuration);
  expect([refused.status, refused.err.includes("spaces.0.program")]).toEqual([1, true]);
  expect((await ctl("configuration", "mend")).status).toEqual(2);
  expect((await ctl("plan", "mend")).status).toEqual(2);
  const earlier = await ctl("plan", "get");
  expect([earlier.out, earlier.err.includes('"configuration get"')]).toEqual([`${text}\n`, true]);
  expect((await ctl("runbook", "list")).out.split("\n").length > 5).toEqual(true);
  expect((await ctl("runbook", "run", "empty-machine")).status).toEqual(2);
  const dry = await ctl("runbook", "run", "empty-machine", "--machine", "anvil-3", "--dry-run");
  expect([dry.status, dry.err.match(/would be done/g)?.length]).toEqual([0, 3]);
  const wrong = await ctl("runbook", "run", "empty-machine", "--machine", "anvil-9");
  expect([wrong.status, wrong.err.includes("not reached")]).toEqual([1, true]);
  const emptied = await ctl("runbook", "run", "empty-machine", "--machine", "anvil-3", "--json");
  expect([emptied.status, (JSON.parse(emptied.out) as { isDone: boolean }).isDone]).toEqual([0, true]);
  expect((await ctl("drain", "status", "anvil-3")).out).toEqual(
    "anvil-3: drain requested, 0 of 32 shards have a replica there\n",
  );
  expect((await ctl("runbook", "run", "refill-machine", "--machine", "anvil-3")).status).toEqual(0);
  const rollout = await ctl("configuration", "rollout", "--json");
  expect((JSON.parse(rollout.out) as { taken: number; of: number }).taken).toEqual(8);
});

test("processes killed, terminated, frozen and cut off under load: no rule broken, recovery within 12 s", async () => {
  const load = new Load(fleet);
  try {
    await load.connectClients();
    load.startTraffic();
    const drill = new ChaosDrill(fleet, load);
    await drill.run(["kill", "freeze", "cycle"], ["edge", "holder", "proposer"]);
    await drill.run(["cut"], ["holder"]);
    await drill.run(["reset", "wipe", "settings", "changeConfiguration", "blackout"], ["holder", "proposer"]);
    const report = await load.finish();
    expect(report.breaches).toEqual([]);
    expect(fleet.unexpectedExits).toEqual([]);
    expect(drill.steps.filter((step) => step.backMs > ChaosDrill.maxRecoveryMs)).toEqual([]);
    expect(report.accepted).toEqual(report.sent);
    expect(report.deliveries > report.accepted).toEqual(true);
  } finally {
    load.halt();
  }
});
