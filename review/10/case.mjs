/**
 * A live space. Messages are acknowledged, and resets of the senders' connections lose the acknowledgements. A storage
 * machine is stopped and started, and meanwhile a version removes the space and the next one brings it back. The
 * senders come back and send their numbers again. Exits with 1 if a reader that stayed on its connection received a
 * message twice, 0 if not, 2 if the case could not run.
 */
import { setTimeout as pause } from "node:timers/promises";
import { URL } from "node:url";
import { Client, Proxy } from "../lib-2/client.mjs";
import { configuration, Fleet, Record, route } from "../lib-2/fleet.mjs";

const isTroubled = process.env.TROUBLE !== "0";
const record = new Record(new URL("record.txt", import.meta.url).pathname);
const fleet = new Fleet(record);
const topics = Array.from({ length: 60 }, (_, i) => `live.${i}`);
/** Connections that are reset: 48 of 63. */
const resetCount = 48;

async function run() {
  await fleet.start();
  const space = route("live.", "ephemeral");
  const other = route("kept.", "retained");
  const put = (revision, routes) => fleet.order("PUT", "/cranetrack/configuration", configuration(revision, routes));
  await put(7, [space, other]);
  await fleet.allReady();
  const [edge1, edge2] = fleet.withRole("edge").map((edge) => fleet.clientAddressOf(edge));
  const proxy = new Proxy(edge1);
  const proxied = await proxy.listen(fleet.proxyHost);
  const rejoinMs = () => 1000 + Math.random() * 300;
  const senders = topics.map((topic, i) => {
    return new Client(record, `sender-${i}`, [i < resetCount ? proxied : edge1], [], { rejoinMs });
  });
  const readers = [0, 1, 2].map((i) => new Client(record, `reader-${i}`, [edge2], topics));
  const all = [...readers, ...senders];
  for (const client of all) if (!(await client.joined())) throw new Error(`${client.name} could not join`);
  const publishAll = (text) =>
    Promise.all(senders.map((sender, i) => sender.publish(topics[i], `${text} of ${sender.name} `)));
  // A system that has just started may need a while.
  const isServed = async () => (await publishAll("one")).every(({ acknowledged }) => acknowledged !== undefined);
  for (let attempt = 1; !(await isServed()); attempt += 1) if (attempt === 8) throw new Error("no service at first");
  let cuts = 0;
  proxy.cutsAt = (text) => isTroubled && text.includes("ACK ") && (cuts += 1) > 0;
  const published = publishAll("two");
  const end = performance.now() + 1000;
  while (isTroubled && cuts < resetCount && performance.now() < end) await pause(5);
  proxy.cutsAt = () => false;
  record.note("network", `${cuts} connections were reset`);
  let rolled;
  if (isTroubled) {
    const [storage] = fleet.withRole("storage");
    rolled = fleet.end(storage, "SIGTERM").then(() => fleet.launch(storage));
    await put(8, [other]);
    await pause(200);
    await put(9, [space, other]);
  }
  const messages = await published;
  await rolled;
  await pause(3000);
  const twice = [];
  for (const { body, topic, tries } of messages)
    for (const { name, deliveries, connections } of readers) {
      const copies = deliveries.filter((delivery) => delivery.body === body);
      const again = copies.find((copy, i) => copies.findIndex(({ connection }) => connection === copy.connection) < i);
      if (again === undefined) continue;
      const answers = tries.map(({ number, answer }) => `${number} ${answer}`).join(", ");
      const where = `connection ${again.connection} of ${connections}`;
      twice.push(`${name} got "${body}" of ${topic} twice on ${where}; ${answers}`);
    }
  for (const text of twice) record.note("check", text);
  const ends = fleet.ownEnds.join() || "none";
  console.log(`${cuts} cuts, ${twice.length} messages twice on one connection; own ends: ${ends}`);
  if (twice.length > 0) console.log(twice[0]);
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
