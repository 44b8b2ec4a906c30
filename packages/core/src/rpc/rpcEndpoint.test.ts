import { test } from "node:test";
import { create } from "@bufbuild/protobuf";
import { expect } from "earl";
import { DoneSchema, StoreCallSchema, StoreReplySchema, type Frame } from "../gen/cranetrack_pb.js";
import type { CallInit } from "./callKinds.js";
import { RpcEndpoint } from "./rpcEndpoint.js";
import { Wire, type Body, type BodyInit } from "./wire.js";

interface SentFrame {
  from: string;
  to: string;
  bytes: Uint8Array;
}

/** A network that holds frames until the test delivers them, as often and in any order that the test wants. */
class Network {
  sent: SentFrame[] = [];
  /** Random numbers that endpoints get, in a cycle. */
  randomValues = [0];
  readonly #frameHandlers = new Map<string, (frame: Frame) => void>();
  readonly #lossHandlers = new Map<string, (address: string) => void>();
  readonly #cut = new Set<string>();
  readonly #timers = new Set<{ at: number; fire: () => void }>();
  readonly dropped: string[] = [];
  #now = 0;
  #incarnations = 0;

  /** Starts an incarnation of a process; the previous incarnation of that name receives nothing more. */
  start(name: string, relays: string[] = []): RpcEndpoint {
    const transport = {
      address: `at ${name}`,
      send: (to: string, bytes: Uint8Array) => void this.sent.push({ from: name, to: to.slice(3), bytes }),
      isReachable: (address: string) => !this.#cut.has(`${name}>${address.slice(3)}`),
      onLost: (handler: (address: string) => void) => void this.#lossHandlers.set(name, handler),
      drop: (address: string) => void this.dropped.push(`${name}>${address.slice(3)}`),
      onFrame: (handler: (frame: Frame) => void) => void this.#frameHandlers.set(name, handler),
    };
    const clock = {
      now: () => this.#now,
      once: (ms: number, callback: () => void) => {
        const timer = { at: this.#now + ms, fire: callback };
        this.#timers.add(timer);
        return { stop: () => void this.#timers.delete(timer) };
      },
      every: () => ({ stop: () => undefined }),
    };
    const incarnation = (this.#incarnations += 1);
    const endpoint = new RpcEndpoint(name, transport, clock, {
      draw: () => {
        const [next = 0] = this.randomValues;
        this.randomValues.push(this.randomValues.shift() ?? 0);
        return next;
      },
      identity: () => incarnation.toString(16).padStart(20, "0").split("").reverse().join(""),
    });
    endpoint.addressOf = (other) => `at ${other}`;
    endpoint.relaysFor = () => relays;
    return endpoint;
  }

  cut(from: string, to: string): void {
    this.#cut.add(`${from}>${to}`);
  }

  resetConnection(name: string, peer: string): void {
    this.#lossHandlers.get(name)?.(`at ${peer}`);
  }

  /** Removes the held frames (of one kind, if given) from the network and returns them. */
  takeFrames(kind?: Body["case"]): SentFrame[] {
    const taken = this.sent.filter(({ bytes }) => kind === undefined || Wire.decode(bytes)?.body.case === kind);
    this.sent = this.sent.filter((frame) => !taken.includes(frame));
    return taken;
  }

  async deliver(frames: readonly SentFrame[]): Promise<void> {
    for (const { to, bytes } of frames) {
      this.#frameHandlers.get(to)?.(Wire.decode(bytes)!);
      await new Promise((resolve) => setImmediate(resolve));
    }
  }

  /** Advances the clock and fires all due timers, including those set meanwhile. */
  async advance(ms: number): Promise<void> {
    this.#now += ms;
    for (const timer of this.#timers)
      if (timer.at <= this.#now && this.#timers.delete(timer)) {
        timer.fire();
        await new Promise((resolve) => setImmediate(resolve));
      }
  }

  /** Delivers frames until none is left. */
  async settle(): Promise<void> {
    while (this.sent.length > 0) await this.deliver(this.takeFrames());
  }
}

const txn: CallInit = { case: "storeCall", value: { call: { case: "txn", value: { deletes: ["k"] } } } };
const read: CallInit = { case: "storeCall", value: { call: { case: "read", value: { keys: ["k"] } } } };

/** Answers store calls with the endpoint's name and the number of calls executed so far. */
function serveStore(endpoint: RpcEndpoint): { count: number } {
  const served = { count: 0 };
  endpoint.serve("storeCall", () => {
    served.count += 1;
    return { case: "storeReply", value: { outcome: endpoint.name, revision: served.count } };
  });
  return served;
}

/** The state of a call: the outcome of its reply, `nothing` if it completed without one, or `open`. */
function trackOutcome(call: Promise<Body | undefined>): { outcome: string } {
  const watched = { outcome: "open" };
  void call.then((body) => {
    watched.outcome = body?.case === "storeReply" ? body.value.outcome : (body?.case ?? "nothing");
  });
  return watched;
}

/** Lets each endpoint learn the other's incarnation. */
async function learnIncarnations(network: Network, a: RpcEndpoint, b: RpcEndpoint): Promise<void> {
  b.serve("ping", () => ({ case: "done", value: {} }));
  void a.call(b.name, { case: "ping", value: {} }, 1000);
  await network.settle();
}

const withChanges = (sent: SentFrame, change: Partial<Frame>): SentFrame => {
  return { ...sent, bytes: Wire.encodeForwarded({ ...Wire.decode(sent.bytes)!, ...change }) };
};

test("a reply completes only a call of the same incarnation; a reply to an earlier one is dropped", async () => {
  const network = new Network();
  const first = network.start("a");
  const b = network.start("b");
  serveStore(b);
  void first.call("b", read, 1000);
  const frozen = network.takeFrames();
  const second = network.start("a");
  const asked = trackOutcome(
    second.call("b", { case: "storeCall", value: { call: { case: "feeds", value: {} } } }, 1000),
  );
  const own = network.takeFrames();
  await network.deliver(frozen);
  await network.settle();
  expect([asked.outcome, second.dropped.staleIncarnation]).toEqual(["open", 1]);
  await network.deliver(own);
  await network.settle();
  expect([asked.outcome, second.dropped.staleIncarnation]).toEqual(["b", 1]);
});

test("a reply completes a call only if the callee sends it and its kind answers the call", async () => {
  const network = new Network();
  const [a, b, c] = ["a", "b", "c"].map((name) => network.start(name)) as [RpcEndpoint, RpcEndpoint, RpcEndpoint];
  serveStore(b);
  serveStore(c);
  const toB = trackOutcome(a.call("b", read, 1000));
  const toC = trackOutcome(a.call("c", read, 1000));
  await network.deliver(network.takeFrames());
  const [ofB, ofC] = network.takeFrames() as [SentFrame, SentFrame];
  // C's reply with the id of the call to B, and B's reply with a body of another kind.
  await network.deliver([withChanges(ofC, { id: Wire.decode(ofB.bytes)!.id })]);
  expect([toB.outcome, toC.outcome, a.dropped.otherSender]).toEqual(["open", "open", 1]);
  await network.deliver([withChanges(ofB, { body: { case: "done", value: create(DoneSchema) } })]);
  expect([toB.outcome, a.dropped.otherKind]).toEqual(["open", 1]);
  // A reply without a receiver.
  await network.deliver([withChanges(ofB, { to: "" })]);
  expect([toB.outcome, a.dropped.otherSender]).toEqual(["open", 2]);
  await network.deliver([ofB, ofC]);
  expect([toB.outcome, toC.outcome]).toEqual(["b", "c"]);
  // A duplicate, and a reply with an unknown id, match no pending call.
  await network.deliver([ofB, withChanges(ofC, { id: 999 })]);
  expect(a.dropped.unasked).toEqual(2);
});

test("a forged sender does not complete a call, directly or through a relay", async () => {
  const network = new Network();
  const a = network.start("a");
  const c = network.start("c");
  const asked = trackOutcome(a.call("b", read, 1000));
  const [call] = network.takeFrames() as [SentFrame];
  const { id, callerIncarnation } = Wire.decode(call.bytes)!;
  const body: BodyInit = { case: "storeReply", value: create(StoreReplySchema, { outcome: "forged" }) };
  const forged = { id, isReply: true, from: "b", to: "a", body };
  await network.deliver([{ from: "c", to: "a", bytes: Wire.encode(forged) }]);
  expect([asked.outcome, a.dropped.staleIncarnation]).toEqual(["open", 1]);
  // D asks C to relay a frame that claims to be from B.
  const frame = Wire.encode({ ...forged, callerIncarnation });
  const relay = Wire.encode({ from: "d", to: "c", body: { case: "relay", value: { to: "a", frame } } });
  await network.deliver([{ from: "d", to: "c", bytes: relay }]);
  expect([network.takeFrames(), asked.outcome, c.dropped.forged]).toEqual([[], "open", 1]);
});

test("a call and its reply keep their identity through relays", async () => {
  const network = new Network();
  network.cut("a", "b");
  network.cut("b", "a");
  const a = network.start("a", ["c"]);
  const b = network.start("b", ["c"]);
  network.start("c");
  const served = serveStore(b);
  await learnIncarnations(network, a, b);
  const asked = trackOutcome(a.call("b", txn, 1000));
  const direct = network.takeFrames("relay");
  expect(direct.map(({ to }) => to)).toEqual(["c"]);
  // The relayed frame arrives twice, and the call once more directly.
  await network.deliver([...direct, ...direct]);
  const carried = network.takeFrames();
  await network.deliver([...carried, { ...carried[0]!, from: "a" }]);
  expect([served.count, b.dropped.repeated]).toEqual([1, 2]);
  await network.settle();
  expect(asked.outcome).toEqual("b");
});

test("a call that may not be repeated runs once however often its frame arrives; others run each time", async () => {
  const network = new Network();
  const a = network.start("a");
  const b = network.start("b");
  const served = serveStore(b);
  await learnIncarnations(network, a, b);
  const asked = [txn, read, { case: "storeBatch", value: { calls: [] } } as CallInit].map((body) =>
    trackOutcome(a.call("b", body, 1000)),
  );
  const calls = network.takeFrames("storeCall");
  await network.deliver([...calls, ...calls, ...calls]);
  expect([served.count, b.dropped.repeated]).toEqual([4, 2]);
  await network.settle();
  expect(asked.map(({ outcome }) => outcome)).toEqual(["b", "b", "open"]);
  // Thousands of calls later its id has been forgotten, and still the call doesn't run.
  for (let i = 0; i < 3000; i += 1) void a.call("b", txn, 1000);
  await network.settle();
  await network.deliver([calls[0]!]);
  expect([served.count, b.dropped.repeated]).toEqual([3004, 3]);
});

test("a call that may not be repeated does not run in a later incarnation of the callee", async () => {
  const network = new Network();
  const a = network.start("a");
  const first = network.start("b");
  const earlier = serveStore(first);
  await learnIncarnations(network, a, first);
  const asked = trackOutcome(a.call("b", txn, 1000));
  const calls = network.takeFrames();
  await network.deliver(calls);
  network.takeFrames();
  const later = serveStore(network.start("b"));
  await network.deliver(calls);
  expect([earlier.count, later.count, asked.outcome]).toEqual([1, 0, "open"]);
  // The later incarnation only says that it did not run the call: the outcome is unknown. Later calls go to it.
  await network.settle();
  expect([earlier.count, later.count, asked.outcome]).toEqual([1, 0, "nothing"]);
  const next = trackOutcome(a.call("b", txn, 1000));
  await network.settle();
  expect([earlier.count, later.count, next.outcome]).toEqual([1, 1, "b"]);
});

test("an unknown incarnation is requested first: a call runs in one incarnation, despite duplicates", async () => {
  const network = new Network();
  const a = network.start("a");
  const served = serveStore(network.start("b"));
  const asked = trackOutcome(a.call("b", txn, 1000));
  const unnamed = network.takeFrames();
  await network.deliver([...unnamed, ...unnamed]);
  const told = network.takeFrames();
  expect([served.count, told.length]).toEqual([0, 2]);
  await network.deliver(told);
  const named = network.takeFrames();
  expect([named.length, a.dropped.unasked]).toEqual([1, 1]);
  await network.deliver([...named, ...named]);
  const later = serveStore(network.start("b"));
  await network.deliver([...unnamed, ...named]);
  expect([served.count, later.count]).toEqual([1, 0]);
  const replies = network.takeFrames();
  // A reply from another incarnation than the one called is dropped.
  await network.deliver([withChanges(replies[0]!, { calleeIncarnation: 77 })]);
  expect([asked.outcome, a.dropped.staleIncarnation]).toEqual(["open", 1]);
  await network.deliver(replies);
  expect(asked.outcome).toEqual("b");
});

test("after a connection reset the caller asks for the incarnation of the callee again", async () => {
  const network = new Network();
  const a = network.start("a");
  const first = network.start("b");
  serveStore(first);
  await learnIncarnations(network, a, first);
  const later = serveStore(network.start("b"));
  network.resetConnection("a", "b");
  const asked = trackOutcome(a.call("b", txn, 1000));
  await network.settle();
  expect([later.count, asked.outcome]).toEqual([1, "b"]);
});

test("a connection reset completes the pending calls to a peer, and a later reply changes nothing", async () => {
  const network = new Network();
  const [a, b] = ["a", "b"].map((name) => network.start(name)) as [RpcEndpoint, RpcEndpoint];
  serveStore(b);
  const asked = trackOutcome(a.call("b", txn, 1000));
  await network.deliver(network.takeFrames());
  const replies = network.takeFrames();
  network.resetConnection("a", "b");
  await new Promise((resolve) => setImmediate(resolve));
  expect(asked.outcome).toEqual("nothing");
  // The failed call is not sent again; only the ping is, which detects whether the peer is back.
  expect(network.takeFrames().map(({ bytes }) => Wire.decode(bytes)!.body.case)).toEqual(["ping"]);
  const next = trackOutcome(a.call("b", read, 1000));
  await network.deliver(replies);
  expect([asked.outcome, next.outcome, a.dropped.unasked]).toEqual(["nothing", "open", 1]);
});

test("a batch with one call that may not be repeated may not be repeated", async () => {
  const network = new Network();
  const a = network.start("a");
  const b = network.start("b");
  let served = 0;
  b.serve("storeBatch", ({ calls }) => {
    served += 1;
    return { case: "storeBatchReply", value: { replies: calls.map(() => ({ outcome: "done" })) } };
  });
  await learnIncarnations(network, a, b);
  const calls = [read, txn].map((one) => create(StoreCallSchema, (one as { value: object }).value));
  void a.call("b", { case: "storeBatch", value: { calls } }, 1000);
  void a.call("b", { case: "storeBatch", value: { calls: [calls[0]!] } }, 1000);
  const frames = network.takeFrames();
  await network.deliver([...frames, ...frames]);
  expect([served, b.dropped.repeated]).toEqual([3, 1]);
});

test("frames to an unresponsive peer keep to one relay while it answers, and each peer has its own relay", () => {
  const network = new Network();
  network.randomValues = [0.1, 0.6, 0.9];
  const a = network.start("a", ["r0", "r1", "r2", "r3", "b", "c"]);
  network.cut("a", "b");
  network.cut("a", "c");
  const carriersTo = (peer: string): string[] => {
    for (let i = 0; i < 3; i += 1) a.send(peer, { case: "founded", value: {} });
    return network.takeFrames().map(({ to }) => to);
  };
  expect(carriersTo("b")).toEqual(["r0", "r0", "r0"]);
  expect(carriersTo("c")).toEqual(["r2", "r2", "r2"]);
  expect(carriersTo("b")).toEqual(["r0", "r0", "r0"]);
  network.cut("a", "r0");
  expect(carriersTo("b")).toEqual(["r3", "r3", "r3"]);
});

test("a late reply leaves the connection and other calls alone; only an unanswered ping drops it", async () => {
  const network = new Network();
  const a = network.start("a");
  const b = network.start("b");
  serveStore(b);
  b.serve("ping", () => ({ case: "done", value: {} }));
  const late = trackOutcome(a.call("b", read, 300));
  const other = trackOutcome(a.call("b", read, 900));
  const calls = network.takeFrames();
  await network.advance(300);
  expect([late.outcome, a.isUnresponsive("b")]).toEqual(["nothing", true]);
  // The ping and its reply overtake the held calls.
  await network.deliver(network.takeFrames("ping"));
  await network.deliver(network.takeFrames("done"));
  expect([a.isUnresponsive("b"), network.dropped]).toEqual([false, []]);
  await network.deliver(calls);
  await network.settle();
  expect(other.outcome).toEqual("b");

  await network.advance(RpcEndpoint.recentReplyMs + 1);
  void a.call("b", read, 300);
  await network.advance(300);
  expect(network.dropped).toEqual([]);
  await network.advance(RpcEndpoint.probeMs);
  expect([a.isUnresponsive("b"), network.dropped]).toEqual([true, ["a>b"]]);
});

/** Guards against overload being taken for a failure: peers then sent their frames through relays (issue 45). */
test("a peer that answers other calls is not unresponsive, however late one reply is", async () => {
  const network = new Network();
  const a = network.start("a");
  const b = network.start("b");
  serveStore(b);
  const late = trackOutcome(a.call("b", read, 700));
  const heldBack = network.takeFrames();
  for (let i = 0; i < 4; i += 1) {
    await network.advance(175);
    void a.call("b", read, 300);
    await network.settle();
  }
  expect([late.outcome, a.isUnresponsive("b"), a.unresponsiveCount]).toEqual(["nothing", false, 0]);
  await network.deliver(heldBack);
});

test("a reply that arrives with the timeout is accepted: a process that is late itself marks no peer", async () => {
  const network = new Network();
  const a = network.start("a");
  const b = network.start("b");
  serveStore(b);
  const late = trackOutcome(a.call("b", read, 300));
  await network.deliver(network.takeFrames());
  const replies = network.takeFrames();
  const passed = network.advance(300);
  await network.deliver(replies);
  await passed;
  expect([late.outcome, a.isUnresponsive("b")]).toEqual(["b", false]);
});
