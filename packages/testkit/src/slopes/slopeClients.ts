import { once } from "node:events";
import { connect } from "node:net";

/** So many clients of one edge's connection in a process of their own: they ask, and read past what they are sent. */
const [port, count] = process.argv.slice(2).map(Number) as [number, number];
for (let i = 0; i < count; i += 50) {
  const some = Array.from({ length: Math.min(50, count - i) }, () => {
    const socket = connect(port, "127.0.0.1", () => {
      socket.write("POST /link HTTP/1.1\r\nHost: edge\r\nContent-Length: 0\r\n\r\n");
    });
    socket.on("error", () => undefined);
    return once(socket, "data").then(() => socket.resume());
  });
  await Promise.all(some);
}
process.send?.("ready");
