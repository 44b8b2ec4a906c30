/**
 * Clients publish as many messages a second as the small sites have, with bodies of the greatest size that the users'
 * page allows, for 45 s or until nothing is acknowledged any more. Then nothing is published for longer than the space
 * keeps messages. An operator sends a configuration. Exits with 1 if it is not acknowledged within `order_ack_ms`, 0 if
 * it is, 2 if the case could not run.
 */
import { readFileSync } from "node:fs";
import { clearInterval, setInterval } from "node:timers";
import { setTimeout as pause } from "node:timers/promises";
import { URL } from "node:url";
import { Client } from "../lib-2/client.mjs";
import { ask, configuration, Fleet, Record, route } from "../lib-2/fleet.mjs";

const bodyBytes = process.env.TROUBLE === "0" ? 200 : 16 * 1024;
const messagesPerSecond = 200;
const maxLoadMs = 45_000;
/** The load ends before that if nothing was acknowledged for this long. */
const maxSilenceMs = 4000;
const quietMs = 42_000;
const orderAckMs = 6000;
const senderCount = 50;
const record = new Record(new URL("record.txt", import.meta.url).pathname);
const fleet = new Fleet(record);

/** Resident memory of the storage processes, in MB. */
function memoryOfStorages() {
  return fleet.withRole("storage").map(({ child }) => {
    if (child === undefined) return "ended";
    const status = readFileSync(`/proc/${child.pid}/status`, "utf8");
    return Math.round(Number(/VmRSS:\s+(\d+)/.exec(status)[1]) / 1024);
  });
}

/** A client's view of the record: the bodies are left out. */
const brief = {
  note: (who, text) =>
    record.note(who, text.length > 200 ? `${text.slice(0, 60)}... (${text.length} characters)` : text),
};

async function run() {
  await fleet.start();
  const routes = [route("kept.", "retained")];
  await fleet.order("PUT", "/cranetrack/configuration", configuration(7, routes));
  await fleet.allReady();
  const edges = fleet.withRole("edge").map((edge) => fleet.clientAddressOf(edge));
  const senders = Array.from(
    { length: senderCount },
    (_, i) => new Client(brief, `sender-${i}`, [edges[i % edges.length]], []),
  );
  for (const client of senders) if (!(await client.joined())) throw new Error(`${client.name} could not join`);
  const startedAt = performance.now();
  let lastAckAt = startedAt;
  const isLoaded = () => performance.now() - startedAt < maxLoadMs && performance.now() - lastAckAt < maxSilenceMs;
  const summary = () => {
    const messages = senders.flatMap((sender) => sender.messages);
    const acked = messages.filter(({ acknowledged }) => acknowledged !== undefined);
    const bytes = acked.reduce((sum, { body }) => sum + body.length, 0);
    return `${messages.length} messages sent, ${acked.length} acknowledged, ${(bytes / 1e6).toFixed(1)} MB`;
  };
  const timer = setInterval(() => {
    record.note("case", `${summary()}; memory of the storage processes in MB: ${memoryOfStorages().join()}`);
  }, 5000);
  await Promise.all(
    senders.map(async (sender, i) => {
      await pause(Math.random() * 250);
      for (let n = 1; isLoaded(); n += 1) {
        const published = sender.publish(`kept.${i}`, `${n} of ${sender.name} `.padEnd(bodyBytes, "x"));
        const [{ acknowledged }] = await Promise.all([published, pause((1000 * senderCount) / messagesPerSecond)]);
        if (acknowledged !== undefined) lastAckAt = performance.now();
      }
    }),
  );
  console.log(`the load is over: ${summary()}; memory in MB ${memoryOfStorages().join()}`);
  await pause(quietMs);
  clearInterval(timer);
  // The operator repeats the order at all nodes until it is acknowledged.
  const sentAt = performance.now();
  const order = configuration(8, [...routes, route("more.", "retained")]);
  let acknowledgedAfter;
  const statuses = [];
  for (let i = 0; acknowledgedAfter === undefined && performance.now() - sentAt < orderAckMs + 2000; i += 1) {
    const storages = fleet.withRole("storage");
    const { name, host } = storages[i % storages.length];
    const address = { host, port: fleet.ports.operator };
    const answer = await ask(address, "PUT", "/cranetrack/configuration", order).catch(() => undefined);
    statuses.push(answer?.status ?? "none");
    record.note("operator", `PUT of version 8 at ${name} -> ${answer?.status ?? "no answer"}`);
    if (answer?.status === 200) acknowledgedAfter = performance.now() - sentAt;
    else await pause(50);
  }
  const probe = new Client(record, "probe", [edges[0]], []);
  const isServed = await probe.joined(2000);
  const outcome =
    acknowledgedAfter === undefined ? "not acknowledged" : `acknowledged after ${Math.round(acknowledgedAfter)} ms`;
  const text =
    `configuration: ${outcome}, answers ${[...new Set(statuses)].join()}; ` +
    `a new client is ${isServed ? "" : "not "}let in; own ends: ${fleet.ownEnds.join() || "none"}`;
  record.note("check", text);
  console.log(text);
  for (const { name, log } of fleet.withRole("storage"))
    for (const line of log.split("\n").filter((part) => part.includes("data folder is full"))) record.note(name, line);
  for (const client of [...senders, probe]) client.stop();
  return acknowledgedAfter === undefined || acknowledgedAfter > orderAckMs ? 1 : 0;
}

let code = 2;
try {
  code = await run();
} catch (cause) {
  record.note("case", `could not run: ${cause.stack}`);
  console.log(String(cause.stack));
} finally {
  record.write();
  await fleet.stop();
}
process.exit(code);
