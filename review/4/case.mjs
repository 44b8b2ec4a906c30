// An edge's process and a storage machine of the same zone end at once. Some publishes were accepted and not yet
// acknowledged. Their publishers come back and send the same numbers again.
import { join as joinPath } from "node:path";
import { Numbers, Connection, join, outcome, until } from "../lib/client.mjs";
import { configuration, order, retained, sleep } from "../lib/fleet.mjs";
import { runCase } from "../lib/runCase.mjs";

/** What was sent, answered and run; in this folder. */
const recordPath = joinPath(import.meta.dirname, process.argv[2] ?? "record.txt");

const path = "/cranetrack/configuration";
const topics = Array.from({ length: 12 }, (_, i) => `kafi810.${i}`);
const deadlineMs = 2000;
const rejoinMs = 2000;

/** One publisher with one message: the same number again after UNKNOWN, a cut or silence; a new one after RETRY. */
class Publisher {
  constructor(name, topic, record) {
    Object.assign(this, { name, topic, record, numbers: new Numbers(), tries: [], isAcknowledged: false });
    this.body = `${name} on ${topic} --------------------`;
  }

  async connect(address) {
    this.connection = new Connection(address, this.name, this.record);
    return outcome(await this.connection.hello()) === "OK";
  }

  async send(number) {
    const said = outcome(await this.connection.pub(this.topic, number, this.body));
    this.tries.push({ number, said });
    if (said === "ACK") this.isAcknowledged = true;
    return said;
  }

  /** After its connection was cut: back within `rejoin_s`, on until the deadline, with two further numbers at most. */
  async goOn(addresses, startedAt, delayMs) {
    await sleep(delayMs);
    let further = 0;
    for (let turn = 0; !this.isAcknowledged && performance.now() < startedAt + deadlineMs + 2500; turn += 1) {
      if (!(await this.connect(addresses[turn % addresses.length]))) {
        this.connection.close();
        await sleep(150);
        continue;
      }
      while (!this.connection.isEnded && !this.isAcknowledged) {
        const said = await this.send(this.number);
        const isLate = performance.now() > startedAt + deadlineMs;
        if (said === "RETRY" && (further += 1) <= 2) this.number = this.numbers.next();
        else if (said === "RETRY" || (said === "UNKNOWN" && isLate)) return;
        await sleep(said === "RETRY" ? 350 : 100);
      }
    }
  }
}

/** One round: the publishers' edge and one storage machine are lost together. Returns how the rule was broken. */
async function round({ fleet, record, hasTrouble }, storage, turn) {
  const [edge, otherEdge] = fleet.names("edge");
  const wanted = Object.fromEntries(topics.map((topic) => [topic, undefined]));
  const { connection: reader } = await join(`reader${turn}`, [fleet.front(otherEdge)], wanted, record);
  const publishers = Array.from({ length: 72 }, (_, i) => new Publisher(`p${turn}-${i}`, topics[i % 12], record));
  for (const one of publishers) {
    const { body } = one;
    one.body = `${one.name} begins ----------------`;
    if (!(await one.connect(fleet.front(edge)))) throw new Error("a publisher could not connect");
    if ((await one.send(one.numbers.next())) !== "ACK") throw new Error("a first message was not acknowledged");
    Object.assign(one, { body, number: one.numbers.next(), tries: [], isAcknowledged: false });
  }
  await sleep(500);
  const before = reader.deliveries.length;

  const startedAt = performance.now();
  const first = publishers.map((one) => one.send(one.number));
  if (hasTrouble) {
    await until(() => reader.deliveries.length >= before + 4, 1000);
    await fleet.signal(edge, "SIGKILL");
    await sleep(30);
    await fleet.signal(storage, "SIGKILL");
    setTimeout(() => fleet.launch(edge), 1000);
    setTimeout(() => fleet.launch(storage), 2800);
  }
  await Promise.all(first);
  const addresses = [fleet.front(edge), fleet.front(otherEdge)];
  const rest = publishers.filter((one) => !one.isAcknowledged);
  record.note("case", `round ${turn}: ${rest.length} of ${publishers.length} publishers have no answer`);
  await Promise.all(rest.map((one) => one.goOn(addresses, startedAt, Math.random() * rejoinMs)));
  await sleep(4000);
  for (const one of publishers) one.connection.close();
  reader.close();
  return publishers.flatMap((one) => faultsOf(one, reader));
}

function faultsOf({ name, body, tries }, reader) {
  const numbers = reader.deliveries.filter((one) => one.body === body).map(({ number }) => number);
  const said = tries.map((one) => `${one.number} ${one.said}`).join(", ");
  if (numbers.length > 1) return [`${name}: its message was delivered as ${numbers.join(" and ")}; tries: ${said}`];
  const isFalse = tries.some(({ number, said: answer }) => answer === "RETRY" && numbers.includes(number));
  return isFalse ? [`${name}: its message was delivered in spite of RETRY; tries: ${said}`] : [];
}

await runCase(recordPath, ["accra-osu", "kumasi-suame"], async (parts) => {
  const { fleet, record } = parts;
  const taken = await order(fleet, record, "PUT", path, configuration(1, [retained("r-1", "kafi810.")]));
  if (taken.status !== 200) throw new Error("the configuration was not acknowledged");
  await sleep(4000);
  for (const [i, storage] of fleet.names("storage").entries()) {
    const broken = await round(parts, storage, i + 1);
    record.note("case", `round ${i + 1}: ${broken.length} messages`);
    // What counts is a message that came twice. A RETRY that was wrong is told with it.
    if (broken.some((one) => one.includes(" and "))) return broken;
    await parts.fleet.ready(fleet.names("edge"));
    await sleep(8000);
  }
  return [];
});
