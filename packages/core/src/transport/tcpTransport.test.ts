import { once } from "node:events";
import { connect, createServer, type Socket } from "node:net";
import { test } from "node:test";
import { expect } from "earl";
import type { Frame } from "../gen/cranetrack_pb.js";
import { LogBuffer } from "../runtime/logBuffer.js";
import { TcpTransport } from "./tcpTransport.js";
import { TcpConnection } from "./tcpConnection.js";
import { Wire } from "../rpc/wire.js";

async function freeAddress(): Promise<string> {
  const server = createServer().listen(0, "127.0.0.1");
  await once(server, "listening");
  const { port } = server.address() as { port: number };
  server.close();
  await once(server, "close");
  return `127.0.0.1:${port}`;
}

test(
  "garbled, oversized and foreign connections are each closed and counted, and valid " + "frames still arrive",
  async () => {
    const address = await freeAddress();
    const transport = new TcpTransport(address, new LogBuffer("test", () => undefined));
    await transport.listen();
    const [host, port] = TcpTransport.splitAddress(address);
    const badBytes = [
      Buffer.from("GET / HTTP/1.1\r\n\r\n"),
      Buffer.from([0, 0, 0, 5, 1, 2, 3, 4, 5]),
      Buffer.from([0xff, 0xff, 0xff, 0xff, 1]),
    ];
    for (const bytes of badBytes) {
      const socket = connect(port, host);
      socket.on("error", () => undefined);
      socket.write(bytes);
      await once(socket, "close");
    }
    expect(transport.garbled).toEqual(badBytes.length);

    const sender = new TcpTransport(await freeAddress(), new LogBuffer("test", () => undefined));
    const received = new Promise<Frame>((resolve) => transport.onFrame(resolve));
    sender.send(address, Wire.encode({ id: 1, from: "a", body: { case: "ping", value: { about: "hello" } } }));
    expect((await received).from).toEqual("a");
    sender.close();
    transport.close();
  },
);

const connectedPair = async (): Promise<{ sender: TcpTransport; receiver: TcpTransport; frames: Frame[] }> => {
  const [sender, receiver] = await Promise.all(
    [0, 1].map(async () => new TcpTransport(await freeAddress(), new LogBuffer("test", () => undefined))),
  );
  await receiver!.listen();
  const frames: Frame[] = [];
  receiver!.onFrame((frame) => void frames.push(frame));
  return { sender: sender!, receiver: receiver!, frames };
};
const ping = (about: string, more: object = {}): Uint8Array =>
  Wire.encode({
    id: 7,
    from: "a",
    to: "b",
    fromAddress: "10.0.0.1:1",
    body: { case: "ping", value: { about } },
    ...more,
  });
const untilReceived = async (frames: Frame[], count: number): Promise<void> => {
  while (frames.length < count) await new Promise((resolve) => setImmediate(resolve));
};

test("the envelope is sent once per connection and restored in every frame, also around relayed frames", async () => {
  const { sender, receiver, frames } = await connectedPair();
  const sent = [
    ping("1"),
    ping("2"),
    ping("3", { from: "c", fromAddress: "10.0.0.3:1", hops: 1 }),
    ping("4", { id: 0 }),
    ping("5", { to: "" }),
    ping("6", { to: "", isReply: true }),
    ping("7", { from: "x".repeat(200) }),
    ping("8"),
    ping("9"),
  ];
  for (const bytes of sent) sender.send(receiver.address, bytes);
  await untilReceived(frames, sent.length);
  expect(frames).toEqual(sent.map((bytes) => Wire.decode(bytes)!));
  sender.close();
  receiver.close();
});

test("a connection whose peer does not read is closed and reported, and its queue is bounded", async (t) => {
  const server = createServer((socket) => void socket.pause());
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  const address = `127.0.0.1:${(server.address() as { port: number }).port}`;
  const sender = new TcpTransport(await freeAddress(), new LogBuffer("test", () => undefined));
  // Also runs if the test fails: an open listener would keep the test process from exiting.
  t.after(() => {
    sender.close();
    server.close();
  });
  const frame = ping("x".repeat(1024 * 1024));
  const lost = new Promise<string>((resolve) => sender.onLost(resolve));
  const startedAt = performance.now();
  for (let i = 0; i < 100; i += 1) sender.send(address, frame);
  expect(sender.waitingBytes(address) <= TcpConnection.maxWaitingBytes).toEqual(true);
  expect(await lost).toEqual(address);
  const elapsedMs = performance.now() - startedAt;
  expect([elapsedMs > 1500, elapsedMs < 4000, sender.isReachable(address)]).toEqual([true, true, false]);
});

test("an address without a listener is reported as lost at once, and tried again after a delay", async () => {
  const address = await freeAddress();
  const sender = new TcpTransport(await freeAddress(), new LogBuffer("test", () => undefined));
  const nextLoss = (): Promise<string> => new Promise((resolve) => sender.onLost(resolve));
  for (let i = 0; i < 3; i += 1) {
    const loss = nextLoss();
    sender.send(address, ping("anybody?"));
    expect(await loss).toEqual(address);
    expect(sender.isReachable(address)).toEqual(false);
  }
  sender.close();
});

test("a connection that is reset leaves its address reachable: the next frame opens another", async () => {
  const address = await freeAddress();
  const [host, port] = TcpTransport.splitAddress(address);
  const server = createServer().listen(port, host);
  await once(server, "listening");
  const transport = new TcpTransport(await freeAddress(), new LogBuffer("test", () => undefined));
  const lost = new Promise<string>((resolve) => transport.onLost(resolve));
  transport.send(address, ping("one"));
  const [first] = (await once(server, "connection")) as [Socket];
  await once(first, "data");
  first.resetAndDestroy();
  expect(await lost).toEqual(address);
  expect(transport.isReachable(address)).toEqual(true);
  transport.send(address, ping("two"));
  const [second] = (await once(server, "connection")) as [Socket];
  await once(second, "data");
  transport.close();
  server.close();
});

test("frames that a broken connection had not delivered are not sent again over the next one", async () => {
  const address = await freeAddress();
  const [host, port] = TcpTransport.splitAddress(address);
  const server = createServer().listen(port, host);
  await once(server, "listening");
  const transport = new TcpTransport(await freeAddress(), new LogBuffer("test", () => undefined));
  const lost = new Promise<string>((resolve) => transport.onLost(resolve));
  transport.send(address, ping("one"));
  const [first] = (await once(server, "connection")) as [Socket];
  first.pause();
  // More than the socket buffers hold: whole frames stay queued in the process.
  for (let i = 0; i < 7; i += 1) transport.send(address, ping("x".repeat(1024 * 1024)));
  await new Promise((resolve) => setImmediate(resolve));
  first.resetAndDestroy();
  expect(await lost).toEqual(address);
  const receiver = new TcpTransport(address, new LogBuffer("test", () => undefined));
  server.close();
  await once(server, "close");
  await receiver.listen();
  const frames: Frame[] = [];
  receiver.onFrame((frame) => void frames.push(frame));
  transport.send(address, ping("two"));
  transport.send(address, ping("three"));
  await untilReceived(frames, 2);
  const texts = frames.map(({ body }) => (body.case === "ping" ? body.value.about : body.case));
  expect(texts).toEqual(["two", "three"]);
  transport.close();
  receiver.close();
});
