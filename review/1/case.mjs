// A version removes 300 routes whose prefixes lie within another route's. That route stays as it is; its messages go.
import { join as joinPath } from "node:path";
import { Numbers, join, outcome, publish, until } from "../lib/client.mjs";
import { configuration, order, retained, sleep } from "../lib/fleet.mjs";
import { runCase } from "../lib/runCase.mjs";

/** What was sent, answered and run; in this folder. */
const recordPath = joinPath(import.meta.dirname, process.argv[2] ?? "record.txt");

const path = "/cranetrack/configuration";
const topic = "kafi810.2f";
const outer = retained("r-outer", "kafi810.");
/** Routes of single clubs, within the outer one; no topic here is one of theirs. */
const clubs = Array.from({ length: 300 }, (_, i) => retained(`r-club${i}`, `kafi810.club${i}.`));

await runCase(recordPath, ["accra-osu", "kumasi-suame"], async ({ fleet, record, hasTrouble }) => {
  const [first, second] = fleet.names("edge").map((name) => fleet.front(name));
  const put = (revision, routes) => order(fleet, record, "PUT", path, configuration(revision, routes));
  if ((await put(1, [outer, ...clubs])).status !== 200) throw new Error("version 1 was not acknowledged");
  await sleep(3000);

  const { connection: publisher } = await join("publisher", [first], {}, record);
  const { connection: listener } = await join("listener", [second], { [topic]: undefined }, record);
  const { connection: traveller, answers } = await join("traveller", [second], { [topic]: undefined }, record);
  const cursor = answers.get(topic)[3];
  traveller.close();
  const numbers = new Numbers();
  const early = [];
  for (let i = 1; i <= 5; i += 1)
    early.push(await publish(publisher, topic, numbers, `early message ${i} -----------`));
  const hasAll = ({ deliveries }, wanted) => wanted.every((number) => deliveries.some((one) => one.number === number));
  if (!(await until(() => hasAll(listener, early), 4000))) throw new Error("the first messages were not delivered");

  // The disruption: the clubs' routes go. Without it, the version changes a time-out alone.
  const routes = hasTrouble ? [outer] : [{ ...outer, deadline_ms: 1400 }, ...clubs];
  if ((await put(2, routes)).status !== 200) throw new Error("version 2 was not acknowledged");
  await sleep(4000);

  const broken = [];
  const back = await join("traveller", [first], { [topic]: cursor }, record);
  const answer = back.answers.get(topic);
  if (outcome(answer) === "EXPIRED")
    broken.push(`the traveller was told EXPIRED at ${cursor}, and all it lacks is younger than 35 s`);
  else if (!(await until(() => hasAll(back.connection, early), 4000)))
    broken.push("the traveller was not given the messages after its cursor");

  const late = [];
  for (let i = 1; i <= 5; i += 1) late.push(await publish(publisher, topic, numbers, `late message ${i} ------------`));
  await until(() => hasAll(listener, late), 6000);
  const missed = late.filter((number) => !listener.deliveries.some((one) => one.number === number));
  if (!listener.isEnded && missed.length > 0)
    broken.push(
      `the listener, connected all the time, was not given ${missed.length} of 5 acknowledged messages in 6 s`,
    );
  return broken;
});
