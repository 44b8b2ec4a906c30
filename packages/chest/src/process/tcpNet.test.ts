import { once } from "node:events";
import { connect, createServer } from "node:net";
import { test } from "node:test";
import { expect } from "earl";
import { LogRing } from "./logRing.js";
import { TcpNet } from "./tcpNet.js";
import { Wire } from "./wire.js";

async function freeAddress(): Promise<string> {
  const server = createServer().listen(0, "127.0.0.1");
  await once(server, "listening");
  const { port } = server.address() as { port: number };
  server.close();
  await once(server, "close");
  return `127.0.0.1:${port}`;
}

test(
  "a garbled, an oversized and a foreign connection are each closed and counted, and good " + "frames still come",
  async () => {
    const address = await freeAddress();
    const net = new TcpNet(address, new LogRing("test", () => undefined));
    await net.listen();
    const [host, port] = TcpNet.split(address);
    const wrongs = [
      Buffer.from("GET / HTTP/1.1\r\n\r\n"),
      Buffer.from([0, 0, 0, 5, 1, 2, 3, 4, 5]),
      Buffer.from([0xff, 0xff, 0xff, 0xff, 1]),
    ];
    for (const wrong of wrongs) {
      const socket = connect(port, host);
      socket.on("error", () => undefined);
      socket.write(wrong);
      await once(socket, "close");
    }
    expect(net.garbled).toEqual(wrongs.length);

    const sender = new TcpNet(await freeAddress(), new LogRing("test", () => undefined));
    const came = new Promise<Uint8Array>((resolve) => net.onFrame(resolve));
    sender.send(address, Wire.encode({ id: 1, from: "a", body: { case: "ping", value: { about: "hello" } } }));
    const frame = Wire.decode(await came);
    expect(frame?.from).toEqual("a");
    sender.close();
    net.close();
  },
);
