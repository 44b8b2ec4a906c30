import { EventEmitter } from "node:events";
import type { Frame } from "../gen/cranetrack_pb.js";
import type { Clock } from "../runtime/clock.js";
import type { RandomSource } from "../runtime/random.js";
import type { Transport } from "../transport/transport.js";
import { FrameTraffic } from "./frameTraffic.js";
import { isCall, isReplyTo, mayRepeat, type CallInit } from "./callKinds.js";
import { ServedCalls } from "./servedCalls.js";
import { Wire, type Body, type BodyInit } from "./wire.js";

type KnownBody = Exclude<Body, { case: undefined }>;
type BodyCase = KnownBody["case"];
type BodyValues = { [K in KnownBody as K["case"]]: K["value"] };
type HandlerResult = BodyInit | undefined | Promise<BodyInit | undefined>;
type Handler<C extends BodyCase> = (value: BodyValues[C], frame: Frame) => HandlerResult;
interface PendingCall {
  id: number;
  complete: (body: Body | undefined) => void;
  to: string;
  body: CallInit;
  /** The call must not be executed twice (`mayRepeat` is false for it). */
  isAtMostOnce: boolean;
  /** The only incarnation of the callee that may execute the call; 0 if it is unknown or does not matter. */
  calleeIncarnation: number;
}
/** An outgoing frame without its addresses. `id` is the id of the call; 0 for a one-way message. */
interface OutgoingFrame {
  id: number;
  isReply: boolean;
  body: BodyInit;
  callerIncarnation?: number;
  calleeIncarnation?: number;
}

/** Frames dropped since the process started, by reason. */
export interface DroppedFrames {
  /** Replies to a call that is not pending: it was never made, or it has already completed. */
  unasked: number;
  /** Replies to another incarnation of this process, or from an incarnation of the callee that was not called. */
  staleIncarnation: number;
  /** Replies from a process other than the callee. */
  otherSender: number;
  /** Replies of a kind that does not answer the call. */
  otherKind: number;
  /** Calls that must not be executed twice and were started before, or whose id is too old to tell. */
  repeated: number;
  /** Frames to be relayed whose sender is not the node that handed them over. */
  forged: number;
}

/**
 * Calls and one-way messages between named processes. A call that gets no reply within its timeout completes with
 * undefined: it may or may not have been executed.
 *
 * A call is identified by callee, caller, the caller's incarnation and a call id. The incarnation is a random 52-bit
 * number chosen when the process starts, so that a restart does not reuse it and no clock is needed; call ids increase
 * within it. Only a reply that matches all four, and is of a kind that answers the call, completes the call.
 *
 * A call that must not be repeated (`callKinds.ts`) names the only incarnation of the callee that may execute it, and
 * that incarnation executes it at most once: a frame that arrives twice, or after a restart, is not executed. If the
 * caller does not know the incarnation, the callee replies with its own, and the caller sends the call, which has not
 * been executed, again to that incarnation.
 */
export class RpcEndpoint extends EventEmitter<{ heard: [name: string]; unresponsive: [name: string] }> {
  /** Milliseconds between pings of an unresponsive peer, and how long a ping waits for its reply. */
  static readonly probeMs = 400;
  /** Milliseconds after a ping reply during which a relayed frame does not make its sender unresponsive. */
  static readonly directPingTrustMs = 1500;
  /** A peer that has answered any call within this many milliseconds counts as slow, not as unresponsive. */
  static readonly recentReplyMs = 350;

  readonly name: string;
  readonly #transport: Transport;
  readonly #clock: Clock;
  readonly #random: RandomSource;
  readonly #handlers = new Map<string, (body: Body, frame: Frame) => HandlerResult>();
  readonly #pendingCalls = new Map<number, PendingCall>();
  /**
   * Unresponsive peers. Invariant: a peer is in here from an unanswered call, or a frame that arrived through a relay,
   * until it answers a ping: only that shows that both directions work. Never holds the node itself.
   */
  readonly #unresponsive = new Set<string>();
  /** When each peer last answered a probe. */
  readonly #directPingReplyAt = new Map<string, number>();
  /** When each peer last answered a call without a relay. */
  readonly #directReplyAt = new Map<string, number>();
  /** The relay in use for each unresponsive peer. */
  readonly #relayOfPeer = new Map<string, string>();
  #lastId = 0;
  /** The incarnation of this process. */
  readonly #incarnation: number;
  /** The last known incarnation of each process. An outdated one only makes a call fail. */
  readonly #incarnations = new Map<string, number>();
  readonly #servedCalls = new ServedCalls();
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
  /** How often a peer became unresponsive since the process started. */
  unresponsiveCount = 0;
  /** How often the connection to an unresponsive peer was dropped since the process started. */
  droppedConnectionCount = 0;
  /** The address of a node; undefined if it is unknown. Set by membership. */
  addressOf: (name: string) => string | undefined = () => undefined;
  /** The nodes that may relay frames to a node. Set by membership. */
  relaysFor: (name: string) => string[] = () => [];

  constructor(name: string, transport: Transport, clock: Clock, random: RandomSource) {
    super();
    this.setMaxListeners(0);
    this.name = name;
    this.#transport = transport;
    this.#clock = clock;
    this.#random = random;
    this.#incarnation = RpcEndpoint.#randomIncarnation(random);
    this.#incarnations.set(name, this.#incarnation);
    transport.onFrame((frame) => void this.#handleFrame(frame));
    transport.onLost((address) => this.#onConnectionLost(address));
  }

  /** Registers the handler of calls and messages of a kind. `handle` returns the reply; undefined sends none. */
  serve<C extends BodyCase>(kind: C, handle: Handler<C>): void {
    const isOfKind = (body: Body): body is Body & { case: C; value: BodyValues[C] } => body.case === kind;
    this.#handlers.set(kind, (body, frame) => (isOfKind(body) ? handle(body.value, frame) : undefined));
  }

  /** Whether a node does not answer calls, or its address can't be reached, as far as this process knows. */
  isUnresponsive(name: string): boolean {
    const address = this.addressOf(name);
    return this.#unresponsive.has(name) || (address !== undefined && !this.#transport.isReachable(address));
  }

  /** Sends a one-way message. It is dropped if the address of the receiver is unknown. */
  send(to: string, body: BodyInit): void {
    this.#send(to, { id: 0, isReply: false, body });
  }

  /** Sends a message to an address: to any process there, or only to the process named `to`. */
  sendToAddress(address: string, body: BodyInit, to = ""): void {
    this.#transport.send(address, this.#encode(to, { id: 0, isReply: false, body }));
  }

  /** Like `sendToAddress`, for periodic messages: losing one does not matter. */
  sendInBackground(address: string, body: BodyInit, to = ""): void {
    this.#transport.send(address, this.#encode(to, { id: 0, isReply: false, body }), "background");
  }

  /**
   * Resolves with the reply, or with undefined after `timeoutMs` or if the connection breaks; the call may then have
   * been executed or not. Never rejects.
   */
  call(to: string, body: CallInit, timeoutMs: number): Promise<Body | undefined> {
    return new Promise((resolve) => {
      const complete = (reply: Body | undefined): void => {
        timer.stop();
        this.#pendingCalls.delete(pending.id);
        resolve(reply);
      };
      const pending = { id: 0, complete, to, body, isAtMostOnce: !mayRepeat(body), calleeIncarnation: 0 };
      const timer = this.#clock.once(timeoutMs, () => this.#onTimer(pending));
      this.#startCall(pending);
    });
  }

  /** Completes all pending calls to a node that is known to be gone with undefined, without waiting for timeouts. */
  failCallsTo(name: string): void {
    this.#incarnations.delete(name);
    for (const pending of [...this.#pendingCalls.values()]) if (pending.to === name) this.#failCall(pending);
  }

  #startCall(pending: PendingCall): void {
    pending.id = ++this.#lastId;
    pending.calleeIncarnation = pending.isAtMostOnce ? (this.#incarnations.get(pending.to) ?? 0) : 0;
    this.#pendingCalls.set(pending.id, pending);
    const { id, body, calleeIncarnation } = pending;
    this.#send(pending.to, { id, isReply: false, body, callerIncarnation: this.#incarnation, calleeIncarnation });
  }

  /** If this process itself is late, the reply may be queued behind the timer: it is processed first. */
  #onTimer(pending: PendingCall): void {
    this.#clock.once(0, () => {
      if (this.#pendingCalls.get(pending.id) === pending) this.#onTimeout(pending);
    });
  }

  /** A peer that answers other calls is only slow: relaying frames to it would add to its load and to the relays'. */
  #onTimeout(pending: PendingCall): void {
    pending.complete(undefined);
    const silentMs = this.#clock.now() - (this.#directReplyAt.get(pending.to) ?? -Infinity);
    if (silentMs > RpcEndpoint.recentReplyMs) this.#markUnresponsive(pending.to);
  }

  /** Completes a call whose connection broke or whose callee is gone, and marks the callee as unresponsive. */
  #failCall(pending: PendingCall): void {
    pending.complete(undefined);
    this.#markUnresponsive(pending.to);
  }

  /** A random incarnation: never 0, and exact in a double. */
  static #randomIncarnation(random: RandomSource): number {
    return 1 + Number.parseInt(random.identity().slice(0, 13), 16);
  }

  /** The connection to an address broke: the process there may have restarted with another incarnation. */
  #onConnectionLost(address: string): void {
    for (const pending of [...this.#pendingCalls.values()])
      if (this.addressOf(pending.to) === address) this.#failCall(pending);
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
   * Pings an unresponsive peer until it answers. A peer that answers the first ping was only late: its connection stays
   * open, with all other calls on it. Otherwise the connection is dropped, because after a network partition a new
   * connection is established sooner than the old one resumes.
   */
  async #probe(name: string, isFirst = false): Promise<void> {
    const reply = await this.call(name, { case: "ping", value: {} }, RpcEndpoint.probeMs);
    if (reply !== undefined) {
      this.#markResponsive(name);
      this.#directPingReplyAt.set(name, this.#clock.now());
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
    this.#relayOfPeer.delete(name);
  }

  #encode(to: string, outgoing: OutgoingFrame): Uint8Array {
    const frame = Wire.encode({ ...outgoing, from: this.name, to, fromAddress: this.#transport.address });
    this.traffic.onSent(outgoing.body.case, frame.length);
    return frame;
  }

  #send(to: string, outgoing: OutgoingFrame): void {
    const address = this.addressOf(to);
    if (address === undefined) return;
    const frame = this.#encode(to, outgoing);
    const isSentDirectly =
      outgoing.body.case === "ping" || outgoing.body.case === "done" || outgoing.body.case === "gossip";
    if (isSentDirectly || !this.isUnresponsive(to)) return this.#transport.send(address, frame);
    const relay = this.#relayFor(to);
    const relayAddress = relay === undefined ? undefined : this.addressOf(relay);
    if (relay === undefined || relayAddress === undefined) return this.#transport.send(address, frame);
    this.#transport.send(
      relayAddress,
      this.#encode(relay, { id: 0, isReply: false, body: { case: "relay", value: { to, frame } } }),
    );
  }

  /** Keeps to one relay per peer while the relay answers, to keep frames in order; chosen at random to spread load. */
  #relayFor(to: string): string | undefined {
    const isUsable = (name: string): boolean => name !== this.name && name !== to && !this.isUnresponsive(name);
    const current = this.#relayOfPeer.get(to);
    if (current !== undefined && this.addressOf(current) !== undefined && isUsable(current)) return current;
    const usable = this.relaysFor(to).filter(isUsable);
    const chosen = usable[Math.floor(this.#random.draw() * usable.length)];
    if (chosen === undefined) this.#relayOfPeer.delete(to);
    else this.#relayOfPeer.set(to, chosen);
    return chosen;
  }

  async #handleFrame(frame: Frame): Promise<void> {
    if (frame.to !== "" && frame.to !== this.name) return;
    this.traffic.onReceived(frame.body.case);
    if (frame.hops === 0) this.emit("heard", frame.from);
    else if (this.#clock.now() - (this.#directPingReplyAt.get(frame.from) ?? -Infinity) > RpcEndpoint.directPingTrustMs)
      this.#markUnresponsive(frame.from);
    if (frame.body.case === "relay") return this.#relayFrame(frame.from, frame.body.value.to, frame.body.value.frame);
    if (frame.isReply) return this.#handleReply(frame);
    if (isCall(frame.body) && frame.callerIncarnation !== 0)
      this.#incarnations.set(frame.from, frame.callerIncarnation);
    if (!isCall(frame.body) || mayRepeat(frame.body)) return this.#dispatch(frame);
    if (frame.id !== 0 && frame.calleeIncarnation !== this.#incarnation)
      return this.#reply(frame, { case: "staleIncarnation", value: {} });
    if (this.#servedCalls.begin(frame.from, frame.callerIncarnation, frame.id)) return this.#dispatch(frame);
    this.dropped.repeated += 1;
  }

  async #dispatch(frame: Frame): Promise<void> {
    const reply = await this.#handlers.get(frame.body.case!)?.(frame.body, frame);
    if (reply !== undefined && frame.id !== 0) this.#reply(frame, reply);
  }

  #reply({ id, callerIncarnation, from, fromAddress }: Frame, body: BodyInit): void {
    const outgoing = { id, isReply: true, body, callerIncarnation, calleeIncarnation: this.#incarnation };
    if (this.addressOf(from) !== undefined) return this.#send(from, outgoing);
    this.#transport.send(fromAddress, this.#encode(from, outgoing));
  }

  #handleReply(frame: Frame): void {
    const pending = this.#pendingCalls.get(frame.id);
    if (frame.callerIncarnation !== this.#incarnation) this.dropped.staleIncarnation += 1;
    else if (pending === undefined) this.dropped.unasked += 1;
    else if (pending.to !== frame.from || frame.to !== this.name) this.dropped.otherSender += 1;
    else if (pending.isAtMostOnce && frame.body.case === "staleIncarnation")
      this.#onStaleIncarnation(pending, frame.calleeIncarnation);
    else if (pending.calleeIncarnation !== 0 && pending.calleeIncarnation !== frame.calleeIncarnation)
      this.dropped.staleIncarnation += 1;
    else if (!isReplyTo(pending.body.case, frame.body.case)) this.dropped.otherKind += 1;
    else {
      this.#incarnations.set(frame.from, frame.calleeIncarnation);
      if (frame.hops === 0) this.#directReplyAt.set(frame.from, this.#clock.now());
      pending.complete(frame.body);
    }
  }

  /**
   * The callee refused a call because it is not the incarnation that the call names. A call that named none has not
   * been executed and never will be, so it is sent again to this incarnation. A call that named another incarnation may
   * have been executed there.
   */
  #onStaleIncarnation(pending: PendingCall, incarnation: number): void {
    this.#incarnations.set(pending.to, incarnation);
    if (pending.calleeIncarnation !== 0 || incarnation === 0) return pending.complete(undefined);
    this.#pendingCalls.delete(pending.id);
    this.#startCall(pending);
  }

  /** Relays a frame of the node `from` by one hop; a frame that was relayed once is not relayed again. */
  #relayFrame(from: string, to: string, bytes: Uint8Array): void {
    const inner = Wire.decodeForwarded(bytes);
    if (inner !== undefined && inner.from !== from) return void (this.dropped.forged += 1);
    const address = this.addressOf(to);
    if (inner === undefined || inner.hops > 0 || inner.to !== to || address === undefined) return;
    this.#transport.send(address, Wire.encodeForwarded({ ...inner, hops: 1 }));
  }
}
