/**
 * Made the golden data folders in packages/testkit/golden/disk with the program of revision ca00b7a. They are not to be
 * made again: their worth is that an earlier program wrote them. Run as `node packages/testkit/dist/golden/diskMake.js
 * FOLDER`; writes `FOLDER/<disk kind>/{control,storage}` and `FOLDER/<disk kind>/expected.json`.
 */
import { cpSync, mkdirSync, mkdtempSync, renameSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import { connectionsInStatus, openDisk, withoutChecksums, type DiskKind } from "./diskAdapter.js";
import { writtenRecords } from "./diskContent.js";
import { archive, checkedInArchive } from "./diskExpectation.js";
import type { ClientExpectation, FolderExpectation, PublishedMessage } from "./diskExpectation.js";
import { DiskFleet, diskKinds, nodesWithData, until, type Connection } from "./diskFleet.js";

const preload = fileURLToPath(new URL("./diskBounds.js", import.meta.url));
/** Ten years: what is in the golden folders does not expire. */
const keep = 315_360_000;
const space = (name: string, order: string, more: object = {}): object => ({
  name,
  program: [{ when: {}, owe: { keep, order, fault_budget: {} } }],
  ...more,
});
const spaces = [space("chat", "sender"), space("board", "space"), space("feed", "topic", { prefix: "feed/" })];
/** The second version gives the topics of a longer prefix back to the space with the shorter one. */
const configurations = [
  { mark: 1, spaces: [...spaces, space("feed-live", "topic", { prefix: "feed/live/" })] },
  { mark: 2, spaces },
  { mark: 5, limits: { subscriptions: 150 }, spaces },
].map((configuration) => JSON.stringify(configuration));
const topics = ["chat/t1", "chat/t2", "board/t1", "board/t2", "feed/t1"];

async function publishAll(fleet: DiskFleet, session: string, first: number, last: number): Promise<PublishedMessage[]> {
  const published: PublishedMessage[] = [];
  for (let number = first; number <= last; number += 1) {
    for (const topic of topics) {
      const message = { topic, number, payload: `${topic} message ${number}` };
      const path = `/v1/sessions/${session}/messages`;
      const reply = await fleet.callUntilAnswered("edge", "POST", path, JSON.stringify(message));
      if (reply.status !== 200) throw new Error(`not published: ${reply.text}`);
      published.push({ ...message, sender: session, cursor: String(reply.body["place"]) });
    }
  }
  return published;
}

/** A session whose subscriptions are in the store: it names its topics after it is connected. */
async function subscribe(fleet: DiskFleet, session: string): Promise<Connection> {
  const connection = await fleet.connect(session, {});
  for (const topic of topics) {
    const path = `/v1/sessions/${session}/subscriptions`;
    const reply = await fleet.callUntilAnswered("edge", "POST", path, JSON.stringify({ topic }));
    if (reply.status !== 200) throw new Error(`not subscribed: ${reply.text}`);
  }
  await until("all subscriptions are confirmed", () => {
    const confirmed = connection.lines.filter((line) => line["kind"] === "confirmed");
    return confirmed.length === topics.length;
  });
  return connection;
}

async function useFleet(fleet: DiskFleet): Promise<ClientExpectation> {
  for (const text of configurations) {
    const reply = await fleet.callUntilAnswered("control", "PUT", "/v1/plan", text);
    if (reply.status !== 200) throw new Error(`configuration not accepted: ${reply.text}`);
  }
  await until("the configuration is at all nodes", async () => {
    const { body } = await fleet.call("control", "GET", "/v1/plan/rollout");
    return body["of"] !== undefined && body["taken"] === body["of"];
  });
  const publisher = await fleet.connect("publisher", { subscriptions: [] });
  const first = await publishAll(fleet, "publisher", 1, 12);
  const connection = await subscribe(fleet, "reader");
  const second = await publishAll(fleet, "publisher", 13, 25);
  await until("the subscriber has all messages", () => {
    return connection.lines.filter((line) => line["kind"] === "message").length === second.length;
  });
  connection.close();
  await until("the edge knows that the subscriber is gone", async () => {
    return connectionsInStatus((await fleet.call("edge", "GET", "/v1/status")).body) === 1;
  });
  const third = await publishAll(fleet, "publisher", 26, 29);
  publisher.close();
  return { configurations, whileConnected: [...first, ...second], afterDisconnect: third };
}

async function expectationOf(kind: DiskKind, folder: string): Promise<FolderExpectation> {
  const disk = await openDisk(kind, folder);
  const records = disk.read().filter(({ key }) => key !== "format");
  await disk.close();
  return { records: writtenRecords(withoutChecksums(records)) };
}

async function make(kind: DiskKind, target: string): Promise<void> {
  const folder = mkdtempSync(join(tmpdir(), "cranetrack-golden-"));
  const fleet = new DiskFleet(folder, kind, preload);
  await fleet.start();
  const clients = await useFleet(fleet).finally(() => fleet.stop());
  mkdirSync(target, { recursive: true });
  for (const node of nodesWithData) {
    // What lmdb writes for its readers alone is made anew with each opening.
    rmSync(join(folder, node, "lock.mdb"), { force: true });
    cpSync(join(folder, node), join(target, node), { recursive: true });
  }
  renameSync(join(target, archive), join(target, checkedInArchive));
  const [control, storage] = [
    await expectationOf(kind, join(folder, "control")),
    await expectationOf(kind, join(folder, "storage")),
  ];
  writeFileSync(join(target, "expected.json"), `${JSON.stringify({ control, storage, clients }, null, 1)}\n`);
  rmSync(folder, { recursive: true });
}

const target = process.argv[2];
if (target === undefined) throw new Error("name the folder to write to");
for (const kind of diskKinds) await make(kind, join(target, kind));
