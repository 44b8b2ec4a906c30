import { EventEmitter } from "node:events";
import type { Frame } from "../gen/cranetrack_pb.js";
import type { Clock } from "../runtime/clock.js";
import type { RandomSource } from "../runtime/random.js";
import type { Transport } from "../transport/transport.js";
import { FrameTraffic } from "./frameTraffic.js";
import { isCall, isReplyTo, mayRepeat, type CallInit } from "./callKinds.js";
import { ServedCalls } from "./servedCalls.js";
import { Wire, type Body, type BodyInit } from "./wire.js";

type Known = Exclude<Body, { case: undefined }>;
type Case = Known["case"];
type Values = { [K in Known as K["case"]]: K["value"] };
type Served = BodyInit | undefined | Promise<BodyInit | undefined>;
type Serve<C extends Case> = (value: Values[C], frame: Frame) => Served;
interface PendingCall {
  id: number;
  complete: (body: Body | undefined) => void;
  to: string;
  body: CallInit;
  /** It may not be repeated. */
  isOnce: boolean;
  /** The only incarnation of the asked process that executes it; 0 where that was not known, or does not matter. */
  calleeIncarnation: number;
}
/** What a frame says of the call that it belongs to; a message has the number 0. */
interface Part {
  id: number;
  isReply: boolean;
  body: BodyInit;
  callerIncarnation?: number;
  calleeIncarnation?: number;
}

/** Frames that were dropped since the start, by reason. */
export interface DroppedFrames {
  /** Replies to no open call: never asked, or completed before. */
  unasked: number;
  /** Replies to a call of another incarnation of this process, or of an unexpected one of the asked process. */
  staleIncarnation: number;
  /** Replies of somebody who was not asked. */
  otherSender: number;
  /** Replies of a kind that does not answer the call. */
  otherKind: number;
  /** Calls that may not be repeated and were begun before, or can't be told from such. */
  repeated: number;
  /** Frames to be carried that do not come from whoever gave them. */
  forged: number;
}

/**
 * Calls and one-way messages between named processes. A call without a reply within its time-out completes with
 * undefined: it may or may not have been executed.
 *
 * A call is named by the asked process, the asking process, the incarnation of the latter and a number. The incarnation
 * is drawn at random at the start (52 bits), so no restart repeats it and no clock is asked; the number rises within
 * it. Only a reply that has all four, and a kind that answers the call, completes it.
 *
 * A call that may not be repeated (`callKinds.ts`) names the one incarnation of the asked process that executes it, and
 * that one executes it at most once: a frame that comes twice, or only after a restart, runs nothing. Where the asker
 * does not know the incarnation, the asked process replies with its own, and the call, which none has executed, is sent
 * to that one.
 */
export class RpcEndpoint extends EventEmitter<{ heard: [name: string]; unresponsive: [name: string] }> {
  /** How often an unresponsive peer is pinged, and how long its answer outweighs frames that came by a relay. */
  static readonly probeMs = 400;
  static readonly provenMs = 1500;
  /** A peer that answered any call within this time is slow at most, not gone. */
  static readonly answeringMs = 350;

  readonly name: string;
  readonly #transport: Transport;
  readonly #clock: Clock;
  readonly #random: RandomSource;
  readonly #served = new Map<string, (body: Body, frame: Frame) => Served>();
  readonly #pending = new Map<number, PendingCall>();
  /**
   * Invariant: a name is in here from an unanswered call, or a frame that came through another node, until it
   * answers a direct ping directly: only that shows that both ways are open. Never the node itself.
   */
  readonly #unresponsive = new Set<string>();
  readonly #proven = new Map<string, number>();
  /** When each peer last answered a call directly. */
  readonly #answeredAt = new Map<string, number>();
  /** Which node relays frames to an unresponsive peer. */
  readonly #relays = new Map<string, string>();
  #lastId = 0;
  /** The incarnation of this process. */
  readonly #incarnation: number;
  /** The last known incarnation of each process. One that is over by now only makes a call fail. */
  readonly #incarnations = new Map<string, number>();
  readonly #begun = new ServedCalls();
  readonly dropped: DroppedFrames = {
    unasked: 0,
    staleIncarnation: 0,
    otherSender: 0,
    otherKind: 0,
    repeated: 0,
    forged: 0,
  };
  /** Frames sent and received, by kind. */
  readonly traffic = new FrameTraffic();
  /** How often a peer was found unresponsive since the start, and how often its connection was dropped for that. */
  unresponsiveCount = 0;
  droppedConnectionCount = 0;
  /** Set by membership. */
  addressOf: (name: string) => string | undefined = () => undefined;
  relaysFor: (name: string) => string[] = () => [];

  constructor(name: string, transport: Transport, clock: Clock, random: RandomSource) {
    super();
    this.setMaxListeners(0);
    this.name = name;
    this.#transport = transport;
    this.#clock = clock;
    this.#random = random;
    this.#incarnation = RpcEndpoint.#drawIncarnation(random);
    this.#incarnations.set(name, this.#incarnation);
    transport.onFrame((frame) => void this.#handleFrame(frame));
    transport.onLost((address) => this.#onConnectionLost(address));
  }

  /** Handles calls and messages of a kind; what `handle` returns is the reply, undefined none. */
  serve<C extends Case>(kind: C, handle: Serve<C>): void {
    const isMeant = (body: Body): body is Body & { case: C; value: Values[C] } => body.case === kind;
    this.#served.set(kind, (body, frame) => (isMeant(body) ? handle(body.value, frame) : undefined));
  }

  /** Whether calls to a node go unanswered, or its address can't be reached, as far as is known here. */
  isUnresponsive(name: string): boolean {
    const address = this.addressOf(name);
    return this.#unresponsive.has(name) || (address !== undefined && !this.#transport.isReachable(address));
  }

  /** Sends a message that is not answered; it is lost where the receiver is not known. */
  send(to: string, body: BodyInit): void {
    this.#send(to, { id: 0, isReply: false, body });
  }

  /** To whoever is at an address, or to a name that must be there. */
  sendToAddress(address: string, body: BodyInit, to = ""): void {
    this.#transport.send(address, this.#encode(to, { id: 0, isReply: false, body }));
  }

  /** The same, of what will be said again soon. */
  sendInBackground(address: string, body: BodyInit, to = ""): void {
    this.#transport.send(address, this.#encode(to, { id: 0, isReply: false, body }), "background");
  }

  /**
   * Resolves with the reply, or with undefined after `timeoutMs` or a broken connection: executed or not. Never
   * rejects.
   */
  call(to: string, body: CallInit, timeoutMs: number): Promise<Body | undefined> {
    return new Promise((resolve) => {
      const complete = (reply: Body | undefined): void => {
        timer.stop();
        this.#pending.delete(pending.id);
        resolve(reply);
      };
      const pending = { id: 0, complete, to, body, isOnce: !mayRepeat(body), calleeIncarnation: 0 };
      const timer = this.#clock.once(timeoutMs, () => this.#onDue(pending));
      this.#open(pending);
    });
  }

  /** Completes every open call to a node that is known to be gone with undefined, at once. */
  abandonCallsTo(name: string): void {
    this.#incarnations.delete(name);
    for (const pending of [...this.#pending.values()]) if (pending.to === name) this.#onLost(pending);
  }

  #open(pending: PendingCall): void {
    pending.id = ++this.#lastId;
    pending.calleeIncarnation = pending.isOnce ? (this.#incarnations.get(pending.to) ?? 0) : 0;
    this.#pending.set(pending.id, pending);
    const { id, body, calleeIncarnation } = pending;
    this.#send(pending.to, { id, isReply: false, body, callerIncarnation: this.#incarnation, calleeIncarnation });
  }

  /** Where this process itself is late, the reply may wait behind the timer: it is taken first. */
  #onDue(pending: PendingCall): void {
    this.#clock.once(0, () => {
      if (this.#pending.get(pending.id) === pending) this.#onTimeout(pending);
    });
  }

  /** A peer that answers other calls is only slow: routing around it would add to its load and to others'. */
  #onTimeout(pending: PendingCall): void {
    pending.complete(undefined);
    const silentMs = this.#clock.now() - (this.#answeredAt.get(pending.to) ?? -Infinity);
    if (silentMs > RpcEndpoint.answeringMs) this.#markUnresponsive(pending.to);
  }

  /** The connection that the call went by is gone. */
  #onLost(pending: PendingCall): void {
    pending.complete(undefined);
    this.#markUnresponsive(pending.to);
  }

  /** Not 0, and exact in a double. */
  static #drawIncarnation(random: RandomSource): number {
    return 1 + Number.parseInt(random.identity().slice(0, 13), 16);
  }

  /** The connection to an address broke: the process there now may be another incarnation. */
  #onConnectionLost(address: string): void {
    for (const pending of [...this.#pending.values()])
      if (this.addressOf(pending.to) === address) this.#onLost(pending);
    for (const name of [...this.#incarnations.keys()])
      if (this.addressOf(name) === address) this.#incarnations.delete(name);
  }

  #markUnresponsive(to: string): void {
    if (this.#unresponsive.has(to) || to === this.name) return;
    this.#unresponsive.add(to);
    this.unresponsiveCount += 1;
    this.emit("unresponsive", to);
    void this.#probe(to, true);
  }

  /**
   * Who answers the first ping was only late: its connection stays, with all other calls on it. Else it is dropped,
   * for a new one is up sooner after a cut than this one goes on.
   */
  async #probe(name: string, isFirst = false): Promise<void> {
    const answer = await this.call(name, { case: "ping", value: {} }, RpcEndpoint.probeMs);
    if (answer !== undefined) {
      this.#markResponsive(name);
      this.#proven.set(name, this.#clock.now());
      return;
    }
    const address = this.addressOf(name);
    if (address === undefined) return this.#markResponsive(name);
    if (isFirst) {
      this.droppedConnectionCount += 1;
      this.#transport.drop(address);
    }
    this.#clock.once(RpcEndpoint.probeMs, () => void this.#probe(name));
  }

  #markResponsive(name: string): void {
    this.#unresponsive.delete(name);
    this.#relays.delete(name);
  }

  #encode(to: string, part: Part): Uint8Array {
    const frame = Wire.encode({ ...part, from: this.name, to, fromAddress: this.#transport.address });
    this.traffic.onSent(part.body.case, frame.length);
    return frame;
  }

  #send(to: string, part: Part): void {
    const address = this.addressOf(to);
    if (address === undefined) return;
    const frame = this.#encode(to, part);
    const isPing = part.body.case === "ping" || part.body.case === "done" || part.body.case === "gossip";
    if (isPing || !this.isUnresponsive(to)) return this.#transport.send(address, frame);
    const relay = this.#relayFor(to);
    const relayAddress = relay === undefined ? undefined : this.addressOf(relay);
    if (relay === undefined || relayAddress === undefined) return this.#transport.send(address, frame);
    this.#transport.send(
      relayAddress,
      this.#encode(relay, { id: 0, isReply: false, body: { case: "relay", value: { to, frame } } }),
    );
  }

  /** One relay for all frames to a peer while it answers, to keep their order; drawn, so that none has all. */
  #relayFor(to: string): string | undefined {
    const isGood = (name: string): boolean => name !== this.name && name !== to && !this.isUnresponsive(name);
    const kept = this.#relays.get(to);
    if (kept !== undefined && this.addressOf(kept) !== undefined && isGood(kept)) return kept;
    const good = this.relaysFor(to).filter(isGood);
    const drawn = good[Math.floor(this.#random.draw() * good.length)];
    if (drawn === undefined) this.#relays.delete(to);
    else this.#relays.set(to, drawn);
    return drawn;
  }

  async #handleFrame(frame: Frame): Promise<void> {
    if (frame.to !== "" && frame.to !== this.name) return;
    this.traffic.onReceived(frame.body.case);
    if (frame.hops === 0) this.emit("heard", frame.from);
    else if (this.#clock.now() - (this.#proven.get(frame.from) ?? -Infinity) > RpcEndpoint.provenMs)
      this.#markUnresponsive(frame.from);
    if (frame.body.case === "relay") return this.#forwardFrame(frame.from, frame.body.value.to, frame.body.value.frame);
    if (frame.isReply) return this.#handleReply(frame);
    if (isCall(frame.body) && frame.callerIncarnation !== 0)
      this.#incarnations.set(frame.from, frame.callerIncarnation);
    if (!isCall(frame.body) || mayRepeat(frame.body)) return this.#run(frame);
    if (frame.id !== 0 && frame.calleeIncarnation !== this.#incarnation)
      return this.#reply(frame, { case: "staleIncarnation", value: {} });
    if (this.#begun.begin(frame.from, frame.callerIncarnation, frame.id)) return this.#run(frame);
    this.dropped.repeated += 1;
  }

  async #run(frame: Frame): Promise<void> {
    const reply = await this.#served.get(frame.body.case!)?.(frame.body, frame);
    if (reply !== undefined && frame.id !== 0) this.#reply(frame, reply);
  }

  #reply({ id, callerIncarnation, from, fromAddress }: Frame, body: BodyInit): void {
    const part = { id, isReply: true, body, callerIncarnation, calleeIncarnation: this.#incarnation };
    if (this.addressOf(from) !== undefined) return this.#send(from, part);
    this.#transport.send(fromAddress, this.#encode(from, part));
  }

  #handleReply(frame: Frame): void {
    const pending = this.#pending.get(frame.id);
    if (frame.callerIncarnation !== this.#incarnation) this.dropped.staleIncarnation += 1;
    else if (pending === undefined) this.dropped.unasked += 1;
    else if (pending.to !== frame.from || frame.to !== this.name) this.dropped.otherSender += 1;
    else if (pending.isOnce && frame.body.case === "staleIncarnation")
      this.#onStaleIncarnation(pending, frame.calleeIncarnation);
    else if (pending.calleeIncarnation !== 0 && pending.calleeIncarnation !== frame.calleeIncarnation)
      this.dropped.staleIncarnation += 1;
    else if (!isReplyTo(pending.body.case, frame.body.case)) this.dropped.otherKind += 1;
    else {
      this.#incarnations.set(frame.from, frame.calleeIncarnation);
      if (frame.hops === 0) this.#answeredAt.set(frame.from, this.#clock.now());
      pending.complete(frame.body);
    }
  }

  /**
   * An incarnation refused a call. A call that named none was executed by none and never will be: it is sent to this
   * one. A call that named another incarnation may have been executed there.
   */
  #onStaleIncarnation(pending: PendingCall, incarnation: number): void {
    this.#incarnations.set(pending.to, incarnation);
    if (pending.calleeIncarnation !== 0 || incarnation === 0) return pending.complete(undefined);
    this.#pending.delete(pending.id);
    this.#open(pending);
  }

  /** Relays another node's own frame one hop; what was relayed once is not relayed again. */
  #forwardFrame(from: string, to: string, bytes: Uint8Array): void {
    const inner = Wire.decodeForwarded(bytes);
    if (inner !== undefined && inner.from !== from) return void (this.dropped.forged += 1);
    const address = this.addressOf(to);
    if (inner === undefined || inner.hops > 0 || inner.to !== to || address === undefined) return;
    this.#transport.send(address, Wire.encodeForwarded({ ...inner, hops: 1 }));
  }
}
