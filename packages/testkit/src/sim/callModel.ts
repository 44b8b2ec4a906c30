import { FrameSchema, type Frame } from "@cranetrack/core/gen/cranetrack_pb.js";
import { RpcEndpoint, type DroppedFrames } from "@cranetrack/core/rpc/rpcEndpoint.js";
import { Wire } from "@cranetrack/core/rpc/wire.js";
import { SimClock, type SimProcessState } from "./simClock.js";
import { SimWires } from "./simTransport.js";
import { SimWorld } from "./simWorld.js";

interface SimProcess {
  processState: SimProcessState;
  endpoint: RpcEndpoint;
  /** How many times a process of this name has been started, this one included. */
  number: number;
}

/** Frames dropped by reason, calls by outcome, and restarts in one run. */
export interface CallCounts extends DroppedFrames {
  answered: number;
  unknown: number;
  relayed: number;
  restarts: number;
  /** Restarts while another process was paused, with calls of the restarted process still queued there. */
  restartsWhilePeerPaused: number;
}

/**
 * Processes that call each other continuously while they are paused, restarted and partitioned, and while frames are
 * lost, duplicated and delayed, some past several restarts. Every call has a unique text, which its reply must return
 * together with the name of the called process. A call that must not be repeated must not be executed twice, not even
 * by different incarnations of the called process.
 */
export class CallModel {
  static readonly names = ["a", "b", "c", "d"] as const;
  static readonly callIntervalMs = 20;
  static readonly timeoutMs = 400;
  static readonly maxDelayMs = 4000;

  readonly world: SimWorld;
  readonly #wires: SimWires;
  readonly #incarnations = new Map<string, SimProcess>();
  readonly #startCounts = new Map<string, number>();
  readonly #executions = new Map<string, number>();
  #callCount = 0;
  /** Wrong replies and repeated executions. */
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
    relayed: 0,
    restarts: 0,
    restartsWhilePeerPaused: 0,
  };

  constructor(seed: number) {
    this.world = new SimWorld(seed);
    this.#wires = new SimWires(this.world);
    this.#wires.mutate = (_from, _to, bytes) => this.#mutateFrame(bytes);
  }

  async run(ms: number): Promise<void> {
    for (const name of CallModel.names) this.#start(name);
    const end = this.world.now + ms;
    this.#injectFaults(end);
    await this.world.run(end + CallModel.maxDelayMs);
    for (const name of CallModel.names) this.#addDropCounts(name);
  }

  #start(name: string): void {
    const number = (this.#startCounts.get(name) ?? 0) + 1;
    this.#startCounts.set(name, number);
    const processState: SimProcessState = { isDead: false, pausedUntil: 0, rate: 1 };
    const clock = new SimClock(this.world, processState);
    const transport = this.#wires.attach(`${name}:1`, processState);
    const endpoint = new RpcEndpoint(name, transport, clock, this.world.random.fork());
    endpoint.addressOf = (other) => `${other}:1`;
    endpoint.relaysFor = (other) => CallModel.names.filter((peer) => peer !== other && peer !== name);
    endpoint.serve("ping", () => ({ case: "done", value: {} }));
    endpoint.serve("fetch", ({ stream }) => ({ case: "fetchReply", value: { batch: { stream, incarnation: name } } }));
    endpoint.serve("forward", ({ path }) => {
      this.#recordExecution(path);
      return { case: "forwardReply", value: { body: Buffer.from(`${path} ${name}`) } };
    });
    this.#incarnations.set(name, { processState, endpoint, number });
    clock.every(CallModel.callIntervalMs, () => void this.#call(name, number, endpoint));
  }

  async #call(name: string, incarnation: number, endpoint: RpcEndpoint): Promise<void> {
    const to = this.world.random.pick(CallModel.names.filter((peer) => peer !== name));
    const text = `${name}${incarnation}/${(this.#callCount += 1)}`;
    const isAtMostOnce = this.world.random.draw() < 0.5;
    const reply = await endpoint.call(
      to,
      isAtMostOnce
        ? { case: "forward", value: { method: "POST", path: text } }
        : { case: "fetch", value: { stream: text, limit: 1 } },
      CallModel.timeoutMs,
    );
    if (reply === undefined) return void (this.counts.unknown += 1);
    this.counts.answered += 1;
    const replyText = CallModel.#textOf(reply);
    if (replyText !== `${text} ${to}`) this.violations.push(`${text} to ${to} was answered with ${replyText}`);
  }

  static #textOf(reply: Frame["body"]): string {
    if (reply.case === "forwardReply") return Buffer.from(reply.value.body).toString();
    if (reply.case === "fetchReply") return `${reply.value.batch?.stream} ${reply.value.batch?.incarnation}`;
    return reply.case ?? FrameSchema.name;
  }

  #recordExecution(text: string): void {
    const executions = (this.#executions.get(text) ?? 0) + 1;
    this.#executions.set(text, executions);
    if (executions > 1) this.violations.push(`${text} was executed ${executions} times`);
  }

  /** Drops, duplicates or delays some frames; a delay can outlast one or two restarts of the receiver. */
  #mutateFrame(bytes: Uint8Array): Array<{ bytes: Uint8Array; delay: number }> | undefined {
    const { random } = this.world;
    if (Wire.decode(bytes)?.hops === 1) this.counts.relayed += 1;
    const draw = random.draw();
    if (draw < 0.02) return [];
    if (draw < 0.08) return [0, random.between(1, CallModel.maxDelayMs)].map((delay) => ({ bytes, delay }));
    if (draw < 0.1) return [{ bytes, delay: random.between(1, CallModel.maxDelayMs) }];
    return undefined;
  }

  #injectFaults(end: number): void {
    const { random } = this.world;
    if (this.world.now >= end) return this.#wires.heal();
    const name = random.pick(CallModel.names);
    const other = random.pick(CallModel.names.filter((peer) => peer !== name));
    const draw = random.draw();
    if (draw < 0.3) this.#incarnations.get(name)!.processState.pausedUntil = this.world.now + random.between(50, 1500);
    else if (draw < 0.6) this.#restart(name);
    else if (draw < 0.8) this.#wires.cut(`${name}:1`, `${other}:1`);
    else for (const peer of CallModel.names) this.#wires.uncut(`${name}:1`, `${peer}:1`);
    this.world.at(this.world.now + random.between(50, 500), () => this.#injectFaults(end));
  }

  /** Restarts a process; sometimes at once, so that its peers get no notice of the broken connection. */
  #restart(name: string): void {
    const incarnation = this.#incarnations.get(name)!;
    if (incarnation.processState.isDead) return;
    this.#addDropCounts(name);
    incarnation.processState.isDead = true;
    this.#wires.detach(`${name}:1`);
    this.counts.restarts += 1;
    const isPaused = (peer: SimProcess): boolean => peer.processState.pausedUntil > this.world.now;
    if ([...this.#incarnations.values()].some((peer) => peer !== incarnation && isPaused(peer)))
      this.counts.restartsWhilePeerPaused += 1;
    this.world.at(this.world.now + this.world.random.pick([0, 5, 200]), () => this.#start(name));
  }

  #addDropCounts(name: string): void {
    const { endpoint, processState } = this.#incarnations.get(name)!;
    if (processState.isDead) return;
    for (const [reason, count] of Object.entries(endpoint.dropped) as Array<[keyof DroppedFrames, number]>)
      this.counts[reason] += count;
  }
}
