// A fleet of two builds that talk to each other: node scripts/mixedFleet.mjs OTHER_ROOT
//
// OTHER_ROOT is a built checkout of another revision, for instance the one before a change of names. Three control
// nodes, three storage nodes and two edges run on loopback, every second one of the other build. Clients publish and
// subscribe at both edges; then each node is restarted with the other build than before. Exits with 1 unless every
// subscriber has received every acknowledged message once, in the order of each sender.
import { spawn } from "node:child_process";
import { once } from "node:events";
import { existsSync, mkdtempSync, openSync, rmSync, writeFileSync } from "node:fs";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { join, resolve } from "node:path";

/** Paths of a role's program below a checkout: the present one and those of earlier builds. */
const programs = {
  lathe: ["packages/control/dist/cranetrack-control.js", "packages/control/dist/lathe.js"],
  anvil: ["packages/log-storage/dist/cranetrack-storage.js", "packages/log-storage/dist/anvil.js"],
  vise: ["packages/edge/dist/cranetrack-edge.js", "packages/edge/dist/vise.js"],
};
const topics = ["chat/a", "chat/b", "orders/c"];
const messagesEach = 60;

const roots = [resolve(import.meta.dirname, ".."), resolve(process.argv[2] ?? "")];
const folder = mkdtempSync(join(tmpdir(), "cranetrack-mixed-"));

function programOf(root, role) {
  const path = programs[role].map((program) => join(root, program)).find((program) => existsSync(program));
  if (path === undefined) throw new Error(`${root} has no built program of the role ${role}`);
  return path;
}

async function freePorts(count) {
  const servers = Array.from({ length: count }, () => createServer().listen(0, "127.0.0.1"));
  await Promise.all(servers.map((server) => once(server, "listening")));
  const ports = servers.map((server) => server.address().port);
  await Promise.all(servers.map((server) => new Promise((done) => server.close(done))));
  return ports;
}

/** Resolves once a condition holds. */
async function until(what, condition, timeoutMs = 30_000) {
  const deadline = performance.now() + timeoutMs;
  while (!(await condition())) {
    if (performance.now() > deadline) throw new Error(`still waiting until ${what}`);
    await new Promise((done) => setTimeout(done, 25));
  }
}

async function call(node, method, path, body) {
  try {
    const reply = await fetch(`http://${node.http}${path}`, { method, body, signal: AbortSignal.timeout(5000) });
    return { status: reply.status, body: await reply.json() };
  } catch {
    return { status: 0, body: {} };
  }
}

const roles = ["lathe", "anvil", "vise"].flatMap((role) => Array.from({ length: role === "vise" ? 2 : 3 }, () => role));
const ports = await freePorts(2 * roles.length);
const addresses = ports.map((port) => `127.0.0.1:${port}`);
const nodes = roles.map((role, i) => ({
  role,
  name: `node-${i + 1}`,
  address: addresses[i],
  http: addresses[roles.length + i],
  build: i % 2,
}));

async function start(node) {
  const settings = {
    name: node.name,
    role: node.role,
    zone: `z${nodes.indexOf(node) % 3}`,
    address: node.address,
    http: node.http,
    seeds: addresses.slice(0, 3),
    lathes: 3,
    shards: 8,
    ...(node.role === "vise" ? {} : { data: join(folder, node.name), disk: "journal" }),
  };
  const path = join(folder, `${node.name}.json`);
  writeFileSync(path, JSON.stringify(settings));
  const errors = openSync(join(folder, `${node.name}.err`), "a");
  const program = programOf(roots[node.build], node.role);
  node.child = spawn(process.execPath, [program, "--settings", path], { stdio: ["ignore", errors, errors] });
}

const isReady = async (node) => (await call(node, "GET", "/readyz")).status === 200;

async function restartWithOtherBuild(node) {
  const ended = once(node.child, "exit");
  node.child.kill("SIGTERM");
  await ended;
  node.build = 1 - node.build;
  await start(node);
  await until(`${node.name} is ready again`, () => isReady(node));
}

/** A session that keeps its connection open, and opens it again, until it is told to stop. */
function subscribe(edges, session) {
  const reader = { session, received: [], confirmed: new Set(), isStopped: false, abort: undefined };
  const cursors = new Map();
  const onLine = (line) => {
    if (line.kind === "confirmed") reader.confirmed.add(line.topic);
    if (line.kind !== "message") return;
    cursors.set(line.topic, line.place);
    reader.received.push(`${line.sender} ${line.topic} ${line.number}`);
  };
  const run = async () => {
    for (let attempt = 0; !reader.isStopped; attempt += 1) {
      const edge = edges[attempt % edges.length];
      const subscriptions = topics.map((topic) => ({
        topic,
        ...(cursors.has(topic) ? { after: cursors.get(topic) } : {}),
      }));
      reader.abort = new AbortController();
      try {
        const reply = await fetch(`http://${edge.http}/v1/sessions/${session}/link`, {
          method: "POST",
          body: JSON.stringify({ subscriptions }),
          signal: reader.abort.signal,
        });
        if (reply.status === 200) await readLines(reply.body, onLine);
      } catch {
        // The edge is being restarted, or the reader was stopped.
      }
      await new Promise((done) => setTimeout(done, 100));
    }
  };
  reader.done = run();
  return reader;
}

async function readLines(body, onLine) {
  const decoder = new TextDecoder();
  let rest = "";
  for await (const chunk of body) {
    const lines = (rest + decoder.decode(chunk, { stream: true })).split("\n");
    rest = lines.pop();
    for (const line of lines) onLine(JSON.parse(line));
  }
}

/** Publishes numbers in order, each until it is acknowledged, at whichever edge answers. */
async function publish(edges, session, from, acknowledged) {
  const reader = subscribe(edges, session);
  await until(`${session} is connected`, () => reader.confirmed.size === topics.length);
  for (let number = from; number < from + messagesEach; number += 1)
    for (const topic of topics) {
      const body = JSON.stringify({ topic, number, payload: `${session} ${number}` });
      let attempt = 0;
      await until(`${session} has published ${topic} ${number}`, async () => {
        const edge = edges[attempt++ % edges.length];
        return (await call(edge, "POST", `/v1/sessions/${session}/messages`, body)).status === 200;
      });
      acknowledged.push(`${session} ${topic} ${number}`);
    }
  reader.isStopped = true;
  reader.abort.abort();
  await reader.done;
}

function problemsOf(reader, acknowledged) {
  const problems = [];
  const counts = new Map();
  for (const message of reader.received) counts.set(message, (counts.get(message) ?? 0) + 1);
  for (const message of acknowledged)
    if (counts.get(message) !== 1)
      problems.push(`${reader.session}: ${message} came ${counts.get(message) ?? 0} times`);
  const last = new Map();
  for (const message of reader.received) {
    const [sender, topic, number] = message.split(" ");
    const before = last.get(`${sender} ${topic}`) ?? 0;
    if (Number(number) <= before) problems.push(`${reader.session}: ${message} after ${before}`);
    last.set(`${sender} ${topic}`, Number(number));
  }
  return problems;
}

let problems = [];
try {
  for (const node of nodes) await start(node);
  for (const node of nodes) await until(`${node.name} is ready`, () => isReady(node));
  const edges = nodes.filter(({ role }) => role === "vise");
  const contract = { keep: 600, order: "sender", fault_budget: { machines: 1 } };
  const spaces = ["chat", "orders"].map((name) => ({ name, program: [{ when: {}, owe: contract }] }));
  const configuration = JSON.stringify({ mark: 1, spaces });
  await until(
    "the configuration is accepted",
    async () => (await call(nodes[7], "PUT", "/v1/plan", configuration)).status === 200,
  );
  const readers = [subscribe(edges, "reader-1"), subscribe([...edges].reverse(), "reader-2")];
  for (const reader of readers)
    await until(`${reader.session} is subscribed`, () => reader.confirmed.size === topics.length);
  const acknowledged = [];
  await Promise.all(
    ["pen-1", "pen-2"].map((session, i) => publish(i === 0 ? edges : [...edges].reverse(), session, 1, acknowledged)),
  );
  const rolling = (async () => {
    for (const node of nodes) await restartWithOtherBuild(node);
  })();
  await Promise.all([
    rolling,
    publish(edges, "pen-3", 1, acknowledged),
    publish([...edges].reverse(), "pen-4", 1, acknowledged),
  ]);
  for (const reader of readers)
    await until(`${reader.session} has everything`, () => reader.received.length >= acknowledged.length).catch(
      () => undefined,
    );
  problems = readers.flatMap((reader) => problemsOf(reader, acknowledged));
  for (const reader of readers) {
    reader.isStopped = true;
    reader.abort.abort();
  }
  const received = readers.map((reader) => reader.received.length).join(" and ");
  console.log(`${acknowledged.length} messages acknowledged, ${received} received, ${problems.length} problems`);
} finally {
  for (const { child } of nodes) child?.kill("SIGKILL");
  rmSync(folder, { recursive: true, force: true });
}
for (const problem of problems.slice(0, 20)) console.log(problem);
process.exit(problems.length === 0 ? 0 : 1);
