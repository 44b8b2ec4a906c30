import { FrameSchema, type Frame } from "@cranetrack/core/gen/cranetrack_pb.js";
import { RpcEndpoint, type DroppedFrames } from "@cranetrack/core/rpc/rpcEndpoint.js";
import { Wire } from "@cranetrack/core/rpc/wire.js";
import { SimClock, type SimBody } from "./simClock.js";
import { SimWires } from "./simTransport.js";
import { SimWorld } from "./simWorld.js";

interface ProcessIncarnation {
  body: SimBody;
  endpoint: RpcEndpoint;
  /** Which life of its name. */
  number: number;
}

/** How often things came about in a run. */
export interface CallCounts extends DroppedFrames {
  answered: number;
  unknown: number;
  carriedByOthers: number;
  restarts: number;
  /** Restarts while another process stood still, with this one's calls before it. */
  restartsBesideFrozen: number;
}

/**
 * Processes that call each other all the time while they stand still, restart and are cut off, and while frames are
 * lost, late and doubled, by up to several lives. Every call has a text of its own, which its reply must give back with
 * the name of whoever was asked; a call that may not be repeated must not be carried out twice, in whichever life.
 */
export class CallModel {
  static readonly names = ["a", "b", "c", "d"] as const;
  static readonly callEveryMs = 20;
  static readonly timeoutMs = 400;
  static readonly maxLateMs = 4000;

  readonly world: SimWorld;
  readonly #wires: SimWires;
  readonly #incarnations = new Map<string, ProcessIncarnation>();
  readonly #starts = new Map<string, number>();
  readonly #runs = new Map<string, number>();
  #asked = 0;
  /** What was seen that may not be. */
  readonly violations: string[] = [];
  readonly counts: CallCounts = {
    unasked: 0,
    staleIncarnation: 0,
    otherSender: 0,
    otherKind: 0,
    repeated: 0,
    forged: 0,
    answered: 0,
    unknown: 0,
    carriedByOthers: 0,
    restarts: 0,
    restartsBesideFrozen: 0,
  };

  constructor(seed: number) {
    this.world = new SimWorld(seed);
    this.#wires = new SimWires(this.world);
    this.#wires.mutate = (_from, _to, bytes) => this.#disturb(bytes);
  }

  async run(ms: number): Promise<void> {
    for (const name of CallModel.names) this.#start(name);
    const end = this.world.now + ms;
    this.#faults(end);
    await this.world.run(end + CallModel.maxLateMs);
    for (const name of CallModel.names) this.#count(name);
  }

  #start(name: string): void {
    const number = (this.#starts.get(name) ?? 0) + 1;
    this.#starts.set(name, number);
    const body: SimBody = { isDead: false, pausedUntil: 0, rate: 1 };
    const clock = new SimClock(this.world, body);
    const transport = this.#wires.attach(`${name}:1`, body);
    const endpoint = new RpcEndpoint(name, transport, clock, this.world.random.fork());
    endpoint.addressOf = (other) => `${other}:1`;
    endpoint.relaysFor = (other) => CallModel.names.filter((one) => one !== other && one !== name);
    endpoint.serve("ping", () => ({ case: "done", value: {} }));
    endpoint.serve("fetch", ({ stream }) => ({ case: "fetchReply", value: { batch: { stream, incarnation: name } } }));
    endpoint.serve("forward", ({ path }) => {
      this.#ran(path);
      return { case: "forwardReply", value: { body: Buffer.from(`${path} ${name}`) } };
    });
    this.#incarnations.set(name, { body, endpoint, number });
    clock.every(CallModel.callEveryMs, () => void this.#call(name, number, endpoint));
  }

  async #call(name: string, incarnation: number, endpoint: RpcEndpoint): Promise<void> {
    const to = this.world.random.pick(CallModel.names.filter((one) => one !== name));
    const text = `${name}${incarnation}/${(this.#asked += 1)}`;
    const isOnce = this.world.random.draw() < 0.5;
    const reply = await endpoint.call(
      to,
      isOnce
        ? { case: "forward", value: { method: "POST", path: text } }
        : { case: "fetch", value: { stream: text, limit: 1 } },
      CallModel.timeoutMs,
    );
    if (reply === undefined) return void (this.counts.unknown += 1);
    this.counts.answered += 1;
    const got = CallModel.#textOf(reply);
    if (got !== `${text} ${to}`) this.violations.push(`${text} to ${to} was answered with ${got}`);
  }

  static #textOf(reply: Frame["body"]): string {
    if (reply.case === "forwardReply") return Buffer.from(reply.value.body).toString();
    if (reply.case === "fetchReply") return `${reply.value.batch?.stream} ${reply.value.batch?.incarnation}`;
    return reply.case ?? FrameSchema.name;
  }

  #ran(text: string): void {
    const runs = (this.#runs.get(text) ?? 0) + 1;
    this.#runs.set(text, runs);
    if (runs > 1) this.violations.push(`${text} was carried out ${runs} times`);
  }

  /** Some frames are lost, some come twice, and of those some so late that a life or two are over. */
  #disturb(bytes: Uint8Array): Array<{ bytes: Uint8Array; delay: number }> | undefined {
    const { random } = this.world;
    if (Wire.decode(bytes)?.hops === 1) this.counts.carriedByOthers += 1;
    const dice = random.draw();
    if (dice < 0.02) return [];
    if (dice < 0.08) return [0, random.between(1, CallModel.maxLateMs)].map((delay) => ({ bytes, delay }));
    if (dice < 0.1) return [{ bytes, delay: random.between(1, CallModel.maxLateMs) }];
    return undefined;
  }

  #faults(end: number): void {
    const { random } = this.world;
    if (this.world.now >= end) return this.#wires.heal();
    const name = random.pick(CallModel.names);
    const other = random.pick(CallModel.names.filter((one) => one !== name));
    const dice = random.draw();
    if (dice < 0.3) this.#incarnations.get(name)!.body.pausedUntil = this.world.now + random.between(50, 1500);
    else if (dice < 0.6) this.#restart(name);
    else if (dice < 0.8) this.#wires.cut(`${name}:1`, `${other}:1`);
    else for (const one of CallModel.names) this.#wires.mend(`${name}:1`, `${one}:1`);
    this.world.at(this.world.now + random.between(50, 500), () => this.#faults(end));
  }

  /** Sometimes at once, so that nobody hears that a connection broke. */
  #restart(name: string): void {
    const incarnation = this.#incarnations.get(name)!;
    if (incarnation.body.isDead) return;
    this.#count(name);
    incarnation.body.isDead = true;
    this.#wires.detach(`${name}:1`);
    this.counts.restarts += 1;
    const isFrozen = (one: ProcessIncarnation): boolean => one.body.pausedUntil > this.world.now;
    if ([...this.#incarnations.values()].some((one) => one !== incarnation && isFrozen(one)))
      this.counts.restartsBesideFrozen += 1;
    this.world.at(this.world.now + this.world.random.pick([0, 5, 200]), () => this.#start(name));
  }

  #count(name: string): void {
    const { endpoint, body } = this.#incarnations.get(name)!;
    if (body.isDead) return;
    for (const [reason, count] of Object.entries(endpoint.dropped) as Array<[keyof DroppedFrames, number]>)
      this.counts[reason] += count;
  }
}
