import { fork } from "node:child_process";
import { once } from "node:events";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { fileURLToPath } from "node:url";
import { create } from "@bufbuild/protobuf";
import { StreamMessageSchema, type StreamMessage } from "@cranetrack/core/gen/cranetrack_pb.js";
import { HostClock } from "@cranetrack/core/runtime/hostClock.js";
import type { ClientConnection } from "@cranetrack/edge/connections/clientConnection.js";
import { HttpConnection } from "@cranetrack/edge/connections/httpConnection.js";
import { StreamCursor } from "@cranetrack/edge/subscriptions/streamCursor.js";
import { Session } from "@cranetrack/edge/sessions/session.js";
import type { StreamTable } from "@cranetrack/edge/fanout/streamTable.js";
import { StreamTail } from "@cranetrack/edge/fanout/streamTail.js";
import { SubscriberCounts } from "@cranetrack/edge/fanout/subscriberCounts.js";
import { Meter } from "./meter.js";

const clock = new HostClock();
const incarnation = "1-0123456789abcdef";
const tableOf = (): StreamTable =>
  ({ counts: new SubscriberCounts(() => undefined), leave: () => undefined }) as object as StreamTable;
const silent: ClientConnection = {
  bufferedBytes: 0,
  isClosed: false,
  send: () => undefined,
  close: () => undefined,
  onClose: () => undefined,
};

function tailOf(topic: string): StreamTail {
  const tail = new StreamTail({ stream: `6:${topic}`, space: "notes/", spaceIncarnation: 1 }, 0);
  tail.confirmHead(incarnation, 0, 0);
  return tail;
}
function subscribe(
  table: StreamTable,
  session: Session,
  tail: StreamTail,
  topic: string,
  connection: ClientConnection,
): void {
  const delivered = session.deliveredNumbers;
  const calls = { maySend: () => true, onEnd: () => undefined };
  const cursor = new StreamCursor({ table, tail, connection, delivered, clock, ...calls });
  cursor.add(topic, { incarnation, seq: tail.head });
  session.subscriptions.set(topic, cursor);
  cursor.start();
}
const messageOf = (seq: number): StreamMessage =>
  create(StreamMessageSchema, {
    seq,
    session: "caller-1234",
    number: seq,
    topic: "notes/busy",
    payload: new Uint8Array(200).fill(97),
  });

/** Real sockets at this edge, one subscription each on one stream, and what a message to all of them costs. */
async function connections(count: number): Promise<{ bytes: number; delivery: number }> {
  const before = Meter.live();
  const rssBefore = process.memoryUsage().rss;
  const table = tableOf();
  const tail = tailOf("notes/busy");
  const sessions = new Map<string, Session>();
  const server = createServer((_ask, answer) => {
    const session = new Session(`caller-${sessions.size}`, 1, 0);
    session.connection = new HttpConnection(answer);
    session.connection.send({ kind: "open" });
    sessions.set(session.id, session);
    subscribe(table, session, tail, "notes/busy", session.connection);
  }).listen(0, "127.0.0.1");
  await once(server, "listening");
  const { port } = server.address() as AddressInfo;
  const clients = fork(fileURLToPath(new URL("slopeClients.js", import.meta.url)), [`${port}`, `${count}`]);
  await once(clients, "message");
  const heap = Meter.live() - before;
  const bytes = Math.max(heap, process.memoryUsage().rss - rssBefore);
  const turns = 20;
  const used = await Meter.processor(async () => {
    for (let seq = 1; seq <= turns; seq += 1) {
      tail.extend(incarnation, [messageOf(seq)]);
      await new Promise((resolve) => setTimeout(resolve, 50));
    }
  });
  clients.kill();
  server.closeAllConnections();
  server.close();
  return { bytes, delivery: used / turns };
}

export const EdgeSlopes = {
  async connectionBytes(count: number): Promise<number> {
    return (await connections(count)).bytes;
  },

  async deliveryProcessor(count: number): Promise<number> {
    return (await connections(count)).delivery;
  },

  subscriptionBytes(count: number): number {
    const session = new Session("caller", 1, 0);
    const table = tableOf();
    const tail = tailOf("notes/busy");
    return Meter.heldBy(() => {
      for (let i = 0; i < count; i += 1) subscribe(table, session, tail, `notes/topic-${i}`, silent);
      return session;
    });
  },

  streamBytes(count: number): number {
    return Meter.heldBy(() => Array.from({ length: count }, (_, i) => tailOf(`notes/topic-${i}`)));
  },
};
