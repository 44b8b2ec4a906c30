import { EventEmitter } from "node:events";
import type { Frame } from "../gen/cranetrack_pb.js";
import type { Clock, Beat } from "../runtime/clock.js";
import type { Transport } from "../transport/transport.js";
import { Wire, type Body, type BodyInit } from "./wire.js";

type Known = Exclude<Body, { case: undefined }>;
type Case = Known["case"];
type Values = { [K in Known as K["case"]]: K["value"] };
type Served = BodyInit | undefined | Promise<BodyInit | undefined>;
type Serve<C extends Case> = (value: Values[C], frame: Frame) => Served;
interface Waiting {
  settle: (body: Body | undefined) => void;
  beat: Beat;
  to: string;
}

/**
 * Calls and tellings between named processes. A call that is not answered by its due settles
 * with undefined: it may or may not have been carried out.
 */
export class RpcEndpoint extends EventEmitter<{ heard: [name: string]; mute: [name: string] }> {
  /** How often a mute peer is asked directly, and for how long its answer stands against frames that came round. */
  static readonly probeMs = 400;
  static readonly provenMs = 1500;

  readonly name: string;
  readonly #net: Transport;
  readonly #clock: Clock;
  readonly #served = new Map<string, (body: Body, frame: Frame) => Served>();
  readonly #waiting = new Map<number, Waiting>();
  /**
   * Invariant: a name is in here from an unanswered call, or a frame that came through another node, until it
   * answers a direct ping directly: only that shows that both ways are open. Never the node itself.
   */
  readonly #mute = new Set<string>();
  readonly #proven = new Map<string, number>();
  #lastId = 0;
  /** Told by membership. */
  addressOf: (name: string) => string | undefined = () => undefined;
  relaysFor: (name: string) => string[] = () => [];

  constructor(name: string, net: Transport, clock: Clock) {
    super();
    this.setMaxListeners(0);
    this.name = name;
    this.#net = net;
    this.#clock = clock;
    net.onFrame((frame) => void this.#take(frame));
    net.onLost((address) => {
      for (const waiting of [...this.#waiting.values()])
        if (this.addressOf(waiting.to) === address) waiting.settle(undefined);
    });
  }

  serve<C extends Case>(kind: C, handle: Serve<C>): void {
    const isMeant = (body: Body): body is Body & { case: C; value: Values[C] } => body.case === kind;
    this.#served.set(kind, (body, frame) => (isMeant(body) ? handle(body.value, frame) : undefined));
  }

  isMute(name: string): boolean {
    const address = this.addressOf(name);
    return this.#mute.has(name) || (address !== undefined && !this.#net.isReachable(address));
  }

  tell(to: string, body: BodyInit): void {
    this.#send(to, { id: 0, isReceipt: false, body });
  }

  /** To whoever is at an address, or to a name that must be there. */
  tellAddress(address: string, body: BodyInit, to = ""): void {
    this.#net.send(address, this.#encode(to, { id: 0, isReceipt: false, body }));
  }

  call(to: string, body: BodyInit, due: number): Promise<Body | undefined> {
    const id = ++this.#lastId;
    return new Promise((resolve) => {
      const settle = (receipt: Body | undefined): void => {
        beat.stop();
        this.#waiting.delete(id);
        if (receipt === undefined) this.#unanswered(to);
        resolve(receipt);
      };
      const beat = this.#clock.once(due, () => settle(undefined));
      this.#waiting.set(id, { settle, beat, to });
      this.#send(to, { id, isReceipt: false, body });
    });
  }

  /** Settles every open call to a node that is known to be gone, at once. */
  giveUp(name: string): void {
    for (const waiting of [...this.#waiting.values()]) if (waiting.to === name) waiting.settle(undefined);
  }

  #unanswered(to: string): void {
    if (this.#mute.has(to) || to === this.name) return;
    this.#mute.add(to);
    const address = this.addressOf(to);
    if (address !== undefined) this.#net.drop(address);
    this.emit("mute", to);
    void this.#probe(to);
  }

  async #probe(name: string): Promise<void> {
    const answer = await this.call(name, { case: "ping", value: {} }, RpcEndpoint.probeMs);
    if (answer !== undefined) {
      this.#mute.delete(name);
      this.#proven.set(name, this.#clock.now());
    } else if (this.addressOf(name) === undefined) this.#mute.delete(name);
    else this.#clock.once(RpcEndpoint.probeMs, () => void this.#probe(name));
  }

  #encode(to: string, part: { id: number; isReceipt: boolean; body: BodyInit }): Uint8Array {
    return Wire.encode({ ...part, from: this.name, to, fromAddress: this.#net.address });
  }

  #send(to: string, part: { id: number; isReceipt: boolean; body: BodyInit }): void {
    const address = this.addressOf(to);
    if (address === undefined) return;
    const frame = this.#encode(to, part);
    const isPing = part.body.case === "ping" || part.body.case === "done" || part.body.case === "gossip";
    if (isPing || !this.isMute(to)) return this.#net.send(address, frame);
    const relay = this.relaysFor(to).find((name) => name !== this.name && !this.isMute(name));
    const relayAddress = relay === undefined ? undefined : this.addressOf(relay);
    if (relay === undefined || relayAddress === undefined) return this.#net.send(address, frame);
    this.#net.send(
      relayAddress,
      this.#encode(relay, { id: 0, isReceipt: false, body: { case: "relay", value: { to, frame } } }),
    );
  }

  async #take(frame: Frame): Promise<void> {
    if (frame.to !== "" && frame.to !== this.name) return;
    if (frame.hops === 0) this.emit("heard", frame.from);
    else if (this.#clock.now() - (this.#proven.get(frame.from) ?? -Infinity) > RpcEndpoint.provenMs)
      this.#unanswered(frame.from);
    if (frame.body.case === "relay") return this.#carry(frame.body.value.to, frame.body.value.frame);
    if (frame.isReceipt) return this.#waiting.get(frame.id)?.settle(frame.body);
    const handle = this.#served.get(frame.body.case!);
    if (handle === undefined) return;
    const receipt = await handle(frame.body, frame);
    if (receipt === undefined || frame.id === 0) return;
    if (this.addressOf(frame.from) !== undefined)
      return this.#send(frame.from, { id: frame.id, isReceipt: true, body: receipt });
    this.#net.send(frame.fromAddress, this.#encode(frame.from, { id: frame.id, isReceipt: true, body: receipt }));
  }

  /** Carries another's frame one hop; what was carried once is not carried again. */
  #carry(to: string, bytes: Uint8Array): void {
    const inner = Wire.decode(bytes);
    const address = this.addressOf(to);
    if (inner === undefined || inner.hops > 0 || inner.to !== to || address === undefined) return;
    this.#net.send(address, Wire.again({ ...inner, hops: 1 }));
  }
}
