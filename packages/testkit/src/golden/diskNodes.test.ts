/**
 * Nodes of the present program start on copies of the data folders that the program of revision ca00b7a left, on other
 * ports, and give clients and operators everything that was acknowledged.
 */
import { readFileSync } from "node:fs";
import { join } from "node:path";
import { after, before, describe, it } from "node:test";
import { expect } from "earl";
import { storeInStatus } from "./diskAdapter.js";
import { copyOfFolders, expectationFor, type PublishedMessage } from "./diskExpectation.js";
import { DiskFleet, diskKinds, until, type Connection } from "./diskFleet.js";

/** The messages that came on a connection, as they were published; the cursor is that of their publisher's reply. */
const messagesOn = (connection: Connection): unknown[] =>
  connection.lines
    .filter((line) => line["kind"] === "message")
    .map(({ sender, topic, number, payload, place }) => ({ topic, number, payload, sender, cursor: place }));

const ofTopic = (messages: readonly unknown[], topic: string): unknown[] =>
  messages.filter((message) => (message as PublishedMessage).topic === topic);

const versionOf = (configuration: string): unknown => (JSON.parse(configuration) as { mark: unknown }).mark;

for (const kind of diskKinds) {
  const { clients, control } = expectationFor(kind);
  const { configurations, whileConnected, afterDisconnect } = clients;
  const accepted = [...whileConnected, ...afterDisconnect];
  const topics = [...new Set(accepted.map(({ topic }) => topic))];
  const inForce = configurations.at(-1)!;

  void describe(`nodes on the golden ${kind} folders`, () => {
    const folder = copyOfFolders(kind);
    const fleet = new DiskFleet(folder, kind);
    const open: Connection[] = [];

    before(() => fleet.start());
    after(async () => {
      for (const connection of open) connection.close();
      await fleet.stop();
    });

    async function connect(session: string, body: object): Promise<Connection> {
      const connection = await fleet.connect(session, body);
      open.push(connection);
      return connection;
    }

    async function publish(session: string, message: object): Promise<Record<string, unknown>> {
      const path = `/v1/sessions/${session}/messages`;
      const reply = await fleet.callUntilAnswered("edge", "POST", path, JSON.stringify(message));
      expect(reply.status).toEqual(200);
      return reply.body;
    }

    void it("are the member and the store that they were", async () => {
      const { body } = await fleet.call("control", "GET", "/v1/status");
      const identity = control.records.find(({ key }) => key === "identity")!.content as Record<string, unknown>;
      expect(storeInStatus(body)).toEqual({
        voters: ["control-1"],
        member: identity["id"],
        store: identity["founding"],
      });
    });

    void it("give back the configuration in force, byte for byte, on every node", async () => {
      for (const node of DiskFleet.nodes)
        expect((await fleet.callUntilAnswered(node, "GET", "/v1/plan")).text).toEqual(inForce);
      expect(versionOf(inForce)).toEqual(5);
      expect(readFileSync(join(folder, "control/plans/plan.json"), "utf8")).toEqual(inForce);
    });

    void it("acknowledge every acknowledged configuration again, and no other under its version", async () => {
      for (const configuration of configurations) {
        const reply = await fleet.callUntilAnswered("control", "PUT", "/v1/plan", configuration);
        expect([reply.status, reply.body["mark"]]).toEqual([200, versionOf(configuration)]);
        const other = JSON.stringify({ ...(JSON.parse(configuration) as object), limits: { subscriptions: 7 } });
        expect((await fleet.callUntilAnswered("control", "PUT", "/v1/plan", other)).status).toEqual(409);
      }
      expect((await fleet.callUntilAnswered("edge", "GET", "/v1/plan")).text).toEqual(inForce);
    });

    void it("give a subscriber with an old cursor what follows it, in order, once", async () => {
      const subscriptions = topics.map((topic) => ({
        topic,
        after: accepted.find((message) => message.topic === topic && message.number === 4)!.cursor,
      }));
      const connection = await connect("returning", { subscriptions });
      await connect("writer", { subscriptions: [] });
      const added: PublishedMessage[] = [];
      for (const topic of topics) {
        const message = { topic, number: 1, payload: `${topic} after the start` };
        added.push({ ...message, sender: "writer", cursor: String((await publish("writer", message))["place"]) });
      }
      const expected = [...accepted.filter(({ number }) => number > 4), ...added];
      await until("all messages came", () => messagesOn(connection).length >= expected.length);
      for (const topic of topics) expect(ofTopic(messagesOn(connection), topic)).toEqual(ofTopic(expected, topic));
      const ofOneStream = (message: unknown): boolean => (message as PublishedMessage).topic.startsWith("board/");
      expect(messagesOn(connection).filter(ofOneStream)).toEqual(expected.filter(ofOneStream));
      const kinds = connection.lines.map((line) => String(line["kind"]));
      expect(kinds.filter((name) => ["expired", "ended", "fault", "goodbye"].includes(name))).toEqual([]);
    });

    void it("go on with a session whose subscriptions are in the store", async () => {
      const connection = await connect("reader", {});
      await until("all messages came", () =>
        topics.every(
          (topic) => ofTopic(messagesOn(connection), topic).length >= ofTopic(afterDisconnect, topic).length,
        ),
      );
      const came = messagesOn(connection).filter((message) => (message as PublishedMessage).sender === "publisher");
      for (const topic of topics) expect(ofTopic(came, topic)).toEqual(ofTopic(afterDisconnect, topic));
    });

    void it("know the last publish of a session, and accept it once only", async () => {
      await connect("publisher", { subscriptions: [] });
      for (const topic of topics) {
        const { number, payload, cursor } = accepted.filter((message) => message.topic === topic).at(-1)!;
        expect((await publish("publisher", { topic, number, payload }))["place"]).toEqual(cursor);
      }
    });
  });
}
