/** Stand-in clients that follow the users' protocol page, and a proxy that can reset their connections. */
import { connect, createServer } from "node:net";
import { once } from "node:events";
import { clearInterval, clearTimeout, setInterval } from "node:timers";
import { setTimeout as pause } from "node:timers/promises";

/** How often a client sends PING. */
const probeMs = 2000;

/** One connection: sends lines, and hands out each answer as `{ fields, body }`. */
export class Connection {
  isEnded = false;
  #buffer = "";
  #socket;

  constructor({ host, port }, onAnswer, onEnd) {
    this.#socket = connect({ host, port, noDelay: true });
    this.#socket.on("data", (chunk) => {
      this.#buffer += chunk.toString("latin1");
      this.#readAnswers(onAnswer);
    });
    this.#socket.on("error", () => undefined);
    const end = () => {
      if (this.isEnded) return;
      this.isEnded = true;
      this.#socket.destroy();
      onEnd();
    };
    this.#socket.once("end", end);
    this.#socket.once("close", end);
  }

  send(text) {
    if (!this.isEnded) this.#socket.write(`${text}\r\n`);
  }

  close() {
    this.#socket.end();
  }

  reset() {
    this.#socket.resetAndDestroy();
  }

  #readAnswers(onAnswer) {
    for (;;) {
      const end = this.#buffer.indexOf("\r\n");
      if (end === -1) return;
      const fields = this.#buffer.slice(0, end).split(" ");
      const hasBody = fields[0] === "DELIVER";
      const next = hasBody ? end + 2 + Number(fields[5]) + 2 : end + 2;
      if (this.#buffer.length < next) return;
      const body = hasBody ? this.#buffer.slice(end + 2, next - 2) : undefined;
      this.#buffer = this.#buffer.slice(next);
      onAnswer(fields, body);
      if (this.isEnded) return;
    }
  }
}

/**
 * A client of the platform: one connection at a time, subscribes to all its topics with their cursors before it
 * publishes, sends a number again after UNKNOWN, a cut or silence, and a new number after RETRY.
 */
export class Client {
  /** Deliveries in order: topic, cursor, sender, number, body and the connection's number. */
  deliveries = [];
  /** Messages of this client: body, tries, and the number under which the message was acknowledged. */
  messages = [];
  cursors = new Map();
  isJoined = false;
  connections = 0;
  /** Answers that no request of this client asked for. */
  unasked = [];
  #record;
  #name;
  #addresses;
  #topics;
  #options;
  #connection;
  #unconfirmed = new Set();
  #number = 0;
  #pending = new Map();
  #waiters = new Set();
  #isStopped = false;
  #wasMovedTo;

  /** `addresses`: where it connects in turn; `rejoinMs(attempt)`: how long it waits before it connects again. */
  constructor(record, name, addresses, topics, options = {}) {
    this.#record = record;
    this.#name = name;
    this.#addresses = addresses;
    this.#topics = topics;
    this.#options = { rejoinMs: () => 50, deadlineMs: 2000, furtherTries: 2, retryPauseMs: () => 100, ...options };
    void this.#run();
  }

  get name() {
    return this.#name;
  }

  get number() {
    return this.#number;
  }

  async #run() {
    for (let attempt = 0; !this.#isStopped; attempt += 1) {
      const address = this.#wasMovedTo ?? this.#addresses[attempt % this.#addresses.length];
      this.#wasMovedTo = undefined;
      this.connections += 1;
      await new Promise((resolve) => {
        this.#connection = new Connection(address, (fields, body) => this.#onAnswer(fields, body), resolve);
        this.#record.note(this.#name, `connects to ${address.host}:${address.port}`);
        this.#send(`HELLO ${this.#name}`);
        const connection = this.#connection;
        const timer = setInterval(() => {
          if (connection.isEnded) clearInterval(timer);
          else connection.send("PING");
        }, probeMs);
      });
      this.#record.note(this.#name, "the connection has ended");
      this.isJoined = false;
      for (const resolve of [...this.#pending.values()]) resolve("CUT");
      this.#pending.clear();
      this.#wake();
      if (!this.#isStopped && this.#wasMovedTo === undefined) await pause(this.#options.rejoinMs(attempt));
    }
  }

  #send(text) {
    this.#record.note(this.#name, `> ${text.replace("\r\n", " | ")}`);
    this.#connection.send(text);
  }

  #subscribe(topic) {
    const cursor = this.cursors.get(topic);
    this.#send(cursor === undefined ? `SUB ${topic}` : `SUB ${topic} ${cursor}`);
  }

  #onAnswer(fields, body) {
    this.#record.note(this.#name, `< ${fields.join(" ")}${body === undefined ? "" : ` | ${body}`}`);
    const [word, first, second, third, fourth] = fields;
    if (word === "OK" && first === "HELLO") {
      this.#unconfirmed = new Set(this.#topics);
      for (const topic of this.#topics) this.#subscribe(topic);
      if (this.#topics.length === 0) this.isJoined = true;
    } else if (word === "DENY" && first === "HELLO") this.#connection.reset();
    else if (word === "OK" && first === "SUB") {
      if (third !== undefined && !this.cursors.has(second)) this.cursors.set(second, third);
      this.#unconfirmed.delete(second);
      if (this.#unconfirmed.size === 0) this.isJoined = true;
    } else if (word === "DENY" && first === "SUB") {
      this.refusedSubscriptions = [...(this.refusedSubscriptions ?? []), { topic: second, reason: fourth ?? third }];
      if (fields.at(-1) === "EXPIRED") this.cursors.delete(second);
      const connection = this.#connection;
      void pause(300).then(() => connection === this.#connection && !connection.isEnded && this.#subscribe(second));
    } else if (word === "DELIVER") {
      this.cursors.set(first, second);
      const delivery = { topic: first, cursor: second, sender: third, number: Number(fourth), body };
      this.deliveries.push({ ...delivery, connection: this.connections });
    } else if (word === "ACK") this.#settle(`${first} ${second}`, "ACK", fields);
    else if (word === "DENY" && first === "PUB") this.#settle(`${second} ${third}`, fourth, fields);
    else if (word === "MOVE") {
      const [host, port] = first.split(":");
      this.#wasMovedTo = { host, port: Number(port) };
      this.#connection.close();
    } else if (word !== "PONG") this.unasked.push(fields.join(" "));
    this.#wake();
  }

  #settle(key, answer, fields) {
    const resolve = this.#pending.get(key);
    if (resolve === undefined) this.unasked.push(fields.join(" "));
    this.#pending.delete(key);
    resolve?.(answer);
  }

  #wake() {
    for (const waiter of [...this.#waiters]) waiter();
  }

  /** Resolves with true once the condition holds, or with false after `timeoutMs`. */
  until(condition, timeoutMs) {
    if (condition()) return Promise.resolve(true);
    return new Promise((resolve) => {
      const finish = (result) => {
        clearTimeout(timer);
        this.#waiters.delete(check);
        resolve(result);
      };
      const check = () => condition() && finish(true);
      const timer = setTimeout(() => finish(condition()), timeoutMs);
      this.#waiters.add(check);
    });
  }

  joined(timeoutMs = 10_000) {
    return this.until(() => this.isJoined, timeoutMs);
  }

  /** Sends one try of a message and resolves with its answer, `CUT` if the connection ends before. */
  #try(topic, number, body) {
    return new Promise((resolve) => {
      this.#pending.set(`${topic} ${number}`, resolve);
      this.#send(`PUB ${topic} ${number} ${body.length}\r\n${body}`);
    });
  }

  /**
   * Publishes a message as the page says: the same number after UNKNOWN, a cut or silence until the message's deadline,
   * a new number after RETRY, `furtherTries` times. Resolves with the message and the answers to its tries.
   */
  async publish(topic, body) {
    const { deadlineMs, furtherTries, retryPauseMs } = this.#options;
    const message = { topic, body: body.padEnd(20, "."), tries: [], acknowledged: undefined };
    this.messages.push(message);
    const end = performance.now() + deadlineMs;
    let number = (this.#number += 1);
    let renumberings = 0;
    while (performance.now() < end) {
      if (!(await this.until(() => this.isJoined, end - performance.now()))) break;
      const answer = await this.#try(topic, number, message.body);
      message.tries.push({ number, answer });
      if (answer === "ACK") {
        message.acknowledged = number;
        break;
      }
      if (answer === "RETRY") {
        if ((renumberings += 1) > furtherTries) break;
        number = this.#number += 1;
      } else if (answer !== "UNKNOWN" && answer !== "CUT") break;
      await pause(retryPauseMs());
    }
    return message;
  }

  reset() {
    this.#connection.reset();
  }

  stop() {
    this.#isStopped = true;
    this.#connection.reset();
  }
}

/** A TCP proxy in front of one address. It passes everything on, until it is told to reset connections. */
export class Proxy {
  #server;
  #pairs = new Set();
  /** Called with each chunk of answers; if it returns true, the chunk is dropped and the connection is reset. */
  cutsAt = () => false;

  constructor(target) {
    this.#server = createServer({ noDelay: true }, (client) => {
      const server = connect({ ...target, noDelay: true });
      const pair = { client, server };
      this.#pairs.add(pair);
      const end = () => {
        this.#pairs.delete(pair);
        client.destroy();
        server.destroy();
      };
      client.on("data", (chunk) => server.write(chunk));
      server.on("data", (chunk) => {
        if (this.cutsAt(chunk.toString("latin1"), pair)) this.#reset(pair);
        else client.write(chunk);
      });
      for (const socket of [client, server]) {
        socket.on("error", () => undefined);
        socket.on("close", end);
        socket.on("end", end);
      }
    });
  }

  async listen(host) {
    this.#server.listen(0, host);
    await once(this.#server, "listening");
    return { host, port: this.#server.address().port };
  }

  #reset({ client, server }) {
    client.resetAndDestroy();
    server.resetAndDestroy();
  }

  resetAll() {
    for (const pair of [...this.#pairs]) this.#reset(pair);
  }

  close() {
    this.#server.close();
    this.resetAll();
  }
}
