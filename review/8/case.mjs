/**
 * A live space with one order for all. Messages are acknowledged, and resets of the senders' connections lose the
 * acknowledgements. A storage machine is stopped and started. A second reader comes; other senders publish; the first
 * senders come back and send their numbers again. Exits with 1 if two subscribers received messages in different
 * orders, 0 if not, 2 if the case could not run.
 */
import { Client, Proxy } from "../lib-2/client.mjs";
import { configuration, Fleet, Record, route } from "../lib-2/fleet.mjs";
import { setTimeout as pause } from "node:timers/promises";
import { URL } from "node:url";

const isTroubled = process.env.TROUBLE !== "0";
const record = new Record(new URL("record.txt", import.meta.url).pathname);
const fleet = new Fleet(record);
const topics = Array.from({ length: 60 }, (_, i) => `live.${i}`);

/** The first pair of messages that both readers received, in different orders; undefined if there is none. */
function firstDisorder(one, other, topic) {
  const bodiesOf = (reader) => reader.deliveries.filter((delivery) => delivery.topic === topic).map(({ body }) => body);
  const positions = new Map(bodiesOf(other).map((body, i) => [body, i]));
  const common = bodiesOf(one).filter((body) => positions.has(body));
  const i = common.findIndex((body, j) => j > 0 && positions.get(body) < positions.get(common[j - 1]));
  return i === -1 ? undefined : [common[i - 1], common[i]];
}

async function run() {
  await fleet.start();
  const space = route("live.", "ephemeral", { in_order: "channel" });
  await fleet.order("PUT", "/cranetrack/configuration", configuration(7, [space]));
  await fleet.allReady();
  const [edge1, edge2, edge3, edge4] = fleet.withRole("edge").map((edge) => fleet.clientAddressOf(edge));
  const proxy = new Proxy(edge1);
  const proxied = await proxy.listen(fleet.proxyHost);
  const rejoinMs = () => 700 + Math.random() * 500;
  const first = topics.map((topic, i) => new Client(record, `first-${i}`, [proxied], [topic], { rejoinMs }));
  const second = topics.map((topic, i) => new Client(record, `second-${i}`, [edge3], [topic]));
  const reader = new Client(record, "reader", [edge2], topics);
  const all = [reader, ...first, ...second];
  for (const client of all) if (!(await client.joined())) throw new Error(`${client.name} could not join`);
  const publishAll = (senders, text) =>
    Promise.all(senders.map((sender, i) => sender.publish(topics[i], `${text} of ${sender.name} `)));
  const isServed = async () => {
    const messages = [...(await publishAll(first, "one")), ...(await publishAll(second, "one"))];
    return messages.every(({ acknowledged }) => acknowledged !== undefined);
  };
  // A system that has just started may need a while.
  for (let attempt = 1; !(await isServed()); attempt += 1) if (attempt === 8) throw new Error("no service at first");
  let cuts = 0;
  proxy.cutsAt = (text) => isTroubled && text.includes("ACK ") && (cuts += 1) > 0;
  const published = publishAll(first, "two");
  const end = performance.now() + 1000;
  while (isTroubled && cuts < topics.length && performance.now() < end) await pause(5);
  proxy.cutsAt = () => false;
  record.note("network", `${cuts} connections were reset`);
  const [storage] = fleet.withRole("storage");
  const rolled = isTroubled ? fleet.end(storage, "SIGTERM").then(() => fleet.launch(storage)) : undefined;
  const late = new Client(record, "late-reader", [edge4], topics);
  all.push(late);
  await late.joined(600);
  await publishAll(second, "two");
  const answers = await published;
  await rolled;
  await pause(3000);
  const disorders = topics.flatMap((topic) => {
    const pair = firstDisorder(reader, late, topic);
    return pair === undefined ? [] : [`${topic}: reader got "${pair[0]}" before "${pair[1]}", late-reader after it`];
  });
  for (const text of disorders) record.note("check", text);
  const again = answers.filter(({ tries }) => tries.length > 1 && tries[0].answer === "CUT").length;
  const ends = fleet.ownEnds.join() || "none";
  console.log(`${cuts} cuts, ${again} sent again, ${disorders.length} topics in different orders; own ends: ${ends}`);
  if (disorders.length > 0) console.log(disorders[0]);
  for (const client of all) client.stop();
  proxy.close();
  return disorders.length > 0 ? 1 : 0;
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
