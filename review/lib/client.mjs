// Clients of the platform: one connection that speaks the protocol, and what a client does with it.
import { connect } from "node:net";
import { clearInterval, setInterval } from "node:timers";
import { sleep } from "./fleet.mjs";

/** One connection of one client: its requests, each with its answer, and what is delivered to it. */
export class Connection {
  #socket;
  #record;
  #text = "";
  #waiting = [];
  #probe;
  /** By the client's name. */
  name;
  deliveries = [];
  /** Answers to nothing that was asked, and what cannot be read. */
  strays = [];
  isEnded = false;

  constructor(address, name, record) {
    const [host, port] = address.split(":");
    this.name = name;
    this.#record = record;
    this.#socket = connect({ host, port: Number(port), noDelay: true });
    this.#socket.on("data", (chunk) => this.#read(chunk));
    this.#socket.on("error", () => undefined);
    this.#socket.on("close", () => this.#end());
    this.#socket.on("end", () => this.#end());
    this.#probe = setInterval(() => !this.isEnded && this.#socket.write("PING\r\n"), 2000);
    record.note(name, `connects to ${address}`);
  }

  hello() {
    return this.#ask(`HELLO ${this.name}`, "HELLO", "", "");
  }

  sub(topic, cursor) {
    return this.#ask(cursor === undefined ? `SUB ${topic}` : `SUB ${topic} ${cursor}`, "SUB", topic, "");
  }

  unsub(topic) {
    return this.#ask(`UNSUB ${topic}`, "UNSUB", topic, "");
  }

  pub(topic, number, body) {
    return this.#ask(`PUB ${topic} ${number} ${body.length}\r\n${body}`, "PUB", topic, String(number));
  }

  /** Resets the connection: what is on its way is lost. */
  reset() {
    this.#record.note(this.name, "resets its connection");
    this.#socket.resetAndDestroy();
    this.#end();
  }

  close() {
    this.#record.note(this.name, "closes its connection");
    this.#socket.end();
    this.#socket.destroy();
    this.#end();
  }

  /** Resolves with the answer: its words, or the word END where the connection ended before it. */
  #ask(text, word, topic, number) {
    if (this.isEnded) return Promise.resolve(["END"]);
    this.#record.note(this.name, `-> ${text.replace("\r\n", " | ")}`);
    return new Promise((resolve) => {
      this.#waiting.push({ word, topic, number, resolve });
      this.#socket.write(`${text}\r\n`);
    });
  }

  #read(chunk) {
    this.#text += chunk.toString("latin1");
    for (;;) {
      const end = this.#text.indexOf("\r\n");
      if (end === -1) return;
      const words = this.#text.slice(0, end).split(" ");
      const isDelivery = words[0] === "DELIVER";
      const whole = isDelivery ? end + 2 + Number(words[5]) + 2 : end + 2;
      if (this.#text.length < whole) return;
      const body = isDelivery ? this.#text.slice(end + 2, whole - 2) : "";
      this.#text = this.#text.slice(whole);
      this.#take(words, body);
    }
  }

  #take(words, body) {
    if (words[0] === "PONG") return;
    this.#record.note(this.name, `<- ${words.join(" ")}${body === "" ? "" : ` | ${body}`}`);
    if (words[0] === "DELIVER") {
      const [, topic, cursor, sender, number] = words;
      this.deliveries.push({ topic, cursor, sender, number: Number(number), body });
      return;
    }
    const [word, topic, number] = answered(words);
    const at = this.#waiting.findIndex((one) => one.word === word && one.topic === topic && one.number === number);
    if (at === -1) this.strays.push(words.join(" "));
    else this.#waiting.splice(at, 1)[0].resolve(words);
  }

  #end() {
    if (this.isEnded) return;
    this.isEnded = true;
    clearInterval(this.#probe);
    this.#record.note(this.name, "its connection is over");
    for (const { resolve } of this.#waiting.splice(0)) resolve(["END"]);
  }
}

/** Which request a line answers: its word, topic and number. */
function answered([keyword, first = "", second = "", third = ""]) {
  if (keyword === "OK") return [first, second, ""];
  if (keyword === "ACK") return ["PUB", first, second];
  if (keyword === "DENY") return [first, second === "-" ? "" : second, third === "-" ? "" : third];
  return [keyword, first, second];
}

/** The reason of a DENY; the first word of all other answers. */
export function outcome(words) {
  return words[0] === "DENY" ? words.at(-1) : words[0];
}

/**
 * Connects as a client does: to one of these addresses after the other until HELLO is answered with OK; then every SUB,
 * again within a second where it is refused for now. `cursors` has the topics, each with its cursor, if there is one;
 * `answers` in the result has the last answer to each SUB.
 */
export async function join(name, addresses, cursors, record, timeoutMs = 20_000) {
  const end = performance.now() + timeoutMs;
  for (let turn = 0; performance.now() < end; turn += 1) {
    const connection = new Connection(addresses[turn % addresses.length], name, record);
    if (outcome(await connection.hello()) === "OK") {
      const answers = new Map();
      for (const [topic, cursor] of Object.entries(cursors)) {
        let answer = await connection.sub(topic, cursor);
        while (outcome(answer) === "RETRY" && performance.now() < end) {
          await sleep(300);
          answer = await connection.sub(topic, cursor);
        }
        answers.set(topic, answer);
      }
      if (!connection.isEnded) return { connection, answers };
    }
    connection.close();
    await sleep(100);
  }
  throw new Error(`${name} could not join`);
}

/** Publishes on one connection: the same number again after UNKNOWN, a new one after RETRY. Gives the last number. */
export async function publish(connection, topic, numbers, body, timeoutMs = 5000) {
  const end = performance.now() + timeoutMs;
  let number = numbers.next();
  while (performance.now() < end) {
    const said = outcome(await connection.pub(topic, number, body));
    if (said === "ACK") return number;
    if (said === "END") break;
    if (said === "RETRY") number = numbers.next();
    await sleep(50);
  }
  throw new Error(`${connection.name}: ${body} was not acknowledged`);
}

/** Rising numbers of one client. */
export class Numbers {
  #last;

  constructor(first = 1) {
    this.#last = first - 1;
  }

  next() {
    return (this.#last += 1);
  }
}

/** Resolves once something holds; false after `timeoutMs`. */
export async function until(holds, timeoutMs) {
  const end = performance.now() + timeoutMs;
  while (!holds()) {
    if (performance.now() > end) return false;
    await sleep(1);
  }
  return true;
}
