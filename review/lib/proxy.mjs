// A proxy between a client and an edge, which can hold back what the edge says, and reset both connections.
import { connect, createServer } from "node:net";
import { once } from "node:events";

/** Listens on a loopback address and passes each connection on to `target`. */
export class Proxy {
  #target;
  #server;
  #pairs = new Set();
  #isHolding = false;
  address = "";

  constructor(target) {
    this.#target = target;
    this.#server = createServer({ noDelay: true }, (client) => this.#admit(client));
  }

  async listen() {
    const [host] = this.#target.split(":");
    this.#server.listen(0, host);
    await once(this.#server, "listening");
    this.address = `${host}:${this.#server.address().port}`;
    return this;
  }

  /** From now on nothing that the edge says reaches the client. */
  hold() {
    this.#isHolding = true;
  }

  /** Resets all connections on both sides; what was held back is lost. Later connections are passed on as before. */
  reset() {
    for (const [client, edge] of this.#pairs) {
      client.resetAndDestroy();
      edge.resetAndDestroy();
    }
    this.#pairs.clear();
    this.#isHolding = false;
  }

  close() {
    this.reset();
    this.#server.close();
  }

  #admit(client) {
    const [host, port] = this.#target.split(":");
    const edge = connect({ host, port: Number(port), noDelay: true });
    const pair = [client, edge];
    this.#pairs.add(pair);
    client.on("data", (chunk) => edge.write(chunk));
    edge.on("data", (chunk) => !this.#isHolding && client.write(chunk));
    for (const [one, other] of [pair, [edge, client]]) {
      one.on("error", () => undefined);
      one.on("close", () => {
        this.#pairs.delete(pair);
        other.destroy();
      });
    }
  }
}
