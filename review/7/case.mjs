/**
 * Messages are acknowledged, and resets of the senders' connections lose the acknowledgements. At the same time a
 * storage machine is lost for a while. The senders come back within `rejoin_s` and send the same numbers again, until
 * the messages' deadline. Exits with 1 if a subscription got a message twice, 0 if not, 2 if the case could not run.
 */
import { setTimeout as pause } from "node:timers/promises";
import { URL } from "node:url";
import { Client, Proxy } from "../lib-2/client.mjs";
import { configuration, Fleet, Record, route } from "../lib-2/fleet.mjs";

const isTroubled = process.env.TROUBLE !== "0";
const record = new Record(new URL("record.txt", import.meta.url).pathname);
const fleet = new Fleet(record);
const topics = Array.from({ length: 100 }, (_, i) => `kept.${i}`);
/** Connections that are reset: four fifths of them. */
const resetCount = 80;
const maxRounds = 6;
const downMs = 2800;
/** At least `sync_s` until the next loss. */
const syncMs = 5500;
const options = { rejoinMs: () => 100 + Math.random() * 1800, retryPauseMs: () => 300 + Math.random() * 300 };

/** One round: a message of each sender, its acknowledgement lost if the round is troubled; returns the messages. */
async function publishRound(senders, proxy, round) {
  let cuts = 0;
  proxy.cutsAt = (text) => isTroubled && text.includes("ACK ") && (cuts += 1) > 0;
  const publishing = Promise.all(
    senders.map((sender, i) => sender.publish(topics[i], `message ${round} of ${sender.name} `)),
  );
  if (isTroubled) {
    const end = performance.now() + 1000;
    while (cuts < resetCount && performance.now() < end) await pause(5);
    proxy.cutsAt = () => false;
    record.note("network", `${cuts} connections were reset`);
    const storages = fleet.withRole("storage");
    const storage = storages[round % storages.length];
    await fleet.end(storage, "SIGKILL");
    await pause(downMs);
    fleet.launch(storage);
  }
  const messages = await publishing;
  await pause(syncMs);
  return messages;
}

async function run() {
  await fleet.start();
  await fleet.order("PUT", "/cranetrack/configuration", configuration(7, [route("kept.", "retained")]));
  await fleet.allReady();
  const [edge1, edge2] = fleet.withRole("edge").map((edge) => fleet.clientAddressOf(edge));
  const proxy = new Proxy(edge1);
  const proxied = await proxy.listen(fleet.proxyHost);
  const reader = new Client(record, "reader", [edge2], topics);
  const senders = topics.map((topic, i) => {
    return new Client(record, `sender-${i}`, [i < resetCount ? proxied : edge1], [topic], options);
  });
  const all = [reader, ...senders];
  for (const client of all) if (!(await client.joined())) throw new Error(`${client.name} could not join`);
  const before = await Promise.all(senders.map((sender, i) => sender.publish(topics[i], `first of ${sender.name} `)));
  if (before.some(({ acknowledged }) => acknowledged === undefined)) throw new Error("no service before the trouble");
  const copiesOf = (body) => reader.deliveries.filter((delivery) => delivery.body === body);
  let [lost, refused, round] = [0, 0, 0];
  let twice = [];
  for (; round < maxRounds && twice.length === 0; round += 1) {
    const messages = await publishRound(senders, proxy, round);
    twice = messages.filter(({ body }) => copiesOf(body).length > 1);
    const resent = messages.filter(({ tries }) => tries[0]?.answer === "CUT");
    lost += resent.length;
    refused += resent.filter(({ tries }) => {
      return tries.some(({ number, answer }) => number === tries[0].number && answer === "RETRY");
    }).length;
  }
  for (const { topic, body, tries } of twice) {
    const numbers = copiesOf(body).map(({ number }) => number);
    const answers = tries.map(({ number, answer }) => `${number} ${answer}`).join(", ");
    record.note("check", `${topic} "${body}" was delivered as ${numbers.join(" and ")}; tries: ${answers}`);
  }
  console.log(
    `${round} round(s): ${lost} acknowledgements lost, ${refused} of these numbers then answered RETRY, ` +
      `${twice.length} messages delivered twice; own ends: ${fleet.ownEnds.join() || "none"}`,
  );
  for (const client of all) client.stop();
  proxy.close();
  return twice.length > 0 ? 1 : 0;
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
