import type { ClientConnection } from "@cranetrack/edge/connections/clientConnection.js";
import type { ClientPort, PortConnection, PortReply } from "../callers/callerPort.js";
import type { SimNode } from "./simNode.js";
import type { SimWorld } from "./simWorld.js";
import { Router } from "@cranetrack/core/http/router.js";
import type { ApiReply } from "@cranetrack/core/http/apiReply.js";

const unreachable: PortReply = { status: 503, body: { error: { code: "unreachable" } }, retryAfterSeconds: 0.3 };

/** The machines that callers reach. */
interface ReachedNodes {
  readonly world: SimWorld;
  /** The process that runs under a name now. */
  find(name: string): SimNode | undefined;
}

/** An answer as a node gave it, whether it arrives or not. */
export interface GivenAnswer {
  name: string;
  method: string;
  path: string;
  status: number;
  text: string;
}

/** Callers' wires in the simulator: latency both ways, resets when a node falls, silence while it is paused. */
export class SimPort implements ClientPort {
  static readonly giveUpMs = 4000;
  /** Silence after which an operator takes an answer for lost. */
  static readonly answerTimeoutMs = 1000;
  readonly #nodes: ReachedNodes;
  /** Sessions whose clients do not read: what is sent to them waits, in bytes. */
  readonly stalled = new Set<string>();
  /** Of the answers to operators' orders, this share is lost on its way. */
  answerLoss = 0;
  /** Told of each answer at the moment when a node gives it. */
  readonly onAnswer = new Set<(answer: GivenAnswer) => void>();

  constructor(nodes: ReachedNodes) {
    this.#nodes = nodes;
  }

  async connection(
    name: string,
    session: string,
    body: object,
    handlers: { line(line: Record<string, unknown>): void; closed(): void },
  ): Promise<PortConnection | PortReply> {
    const simNode = this.#nodes.find(name);
    if (simNode?.edge === undefined) return this.#later(unreachable);
    const state = { isOpen: false, isClientGone: false, isServerGone: false, whenClosed: (): void => undefined };
    let forget = (): void => undefined;
    const closeClient = (): void => {
      forget();
      if (state.isClientGone) return;
      state.isServerGone = true;
      this.#afterWire(() => {
        if (!state.isClientGone) handlers.closed();
      });
    };
    let waitingBytes = 0;
    const { stalled } = this;
    const connection: ClientConnection = {
      get waitingBytes() {
        return waitingBytes;
      },
      get isClosed() {
        return state.isServerGone;
      },
      send: (line) => {
        if (state.isServerGone || simNode.body.isDead) return;
        const text = JSON.stringify(line);
        if (stalled.has(session)) return void (waitingBytes += text.length);
        this.#afterWire(() => {
          if (!state.isClientGone) handlers.line(JSON.parse(text) as Record<string, unknown>);
        });
      },
      close: () => closeClient(),
      onClose: (whenClosed) => void (state.whenClosed = whenClosed),
    };
    const close = (): void => {
      state.isClientGone = true;
      forget();
      this.#onNode(simNode, () => {
        if (state.isServerGone) return;
        state.isServerGone = true;
        state.whenClosed();
      });
    };
    return this.#ask<PortConnection | PortReply>(
      simNode,
      (resolveCall) => {
        forget = simNode.onFall(closeClient);
        void simNode
          .edgeCalls!.connection(session, Buffer.from(JSON.stringify(body)), () => {
            state.isOpen = true;
            resolveCall({ close });
            return connection;
          })
          .then((reply) => {
            if (reply === undefined) return;
            forget();
            resolveCall(SimPort.#read(reply));
          });
      },
      () => {
        close();
        return { status: 0, body: {}, retryAfterSeconds: 0.3 };
      },
    );
  }

  call(name: string, method: string, path: string, body: string | undefined): Promise<PortReply> {
    const answered = this.run(name, async (simNode) => {
      const reply = await simNode.router.run(method, path, Buffer.from(body ?? ""));
      if (!simNode.body.isDead)
        for (const listener of this.onAnswer) listener({ name, method, path, status: reply.status, text: body ?? "" });
      return reply;
    });
    const isOrder = method !== "GET" && method !== "POST";
    if (!isOrder || this.answerLoss === 0 || this.#nodes.world.random.draw() >= this.answerLoss) return answered;
    const { world } = this.#nodes;
    return new Promise(
      (resolve) => void world.at(world.now + SimPort.answerTimeoutMs, () => resolve(SimPort.#broken())),
    );
  }

  /** A call on what runs on a node, carried there and back as `call` is. */
  run(name: string, run: (simNode: SimNode) => Promise<ApiReply>): Promise<PortReply> {
    const simNode = this.#nodes.find(name);
    if (simNode === undefined) return this.#later(unreachable);
    return this.#ask<PortReply>(
      simNode,
      (resolveCall) => void run(simNode).then((reply) => resolveCall(SimPort.#read(reply))),
      SimPort.#broken,
    );
  }

  static #broken(): PortReply {
    return { status: 0, body: { error: { code: "broken" } }, retryAfterSeconds: 0.3 };
  }

  static #read(reply: ApiReply): PortReply {
    const raw = typeof reply.body === "string" ? reply.body : Buffer.from(Router.encode(reply.body)).toString();
    let body: Record<string, unknown> = {};
    try {
      body = JSON.parse(raw) as Record<string, unknown>;
    } catch {
      body = {};
    }
    return { status: reply.status, body: { ...body, raw }, retryAfterSeconds: reply.retryAfterSeconds };
  }

  /** Carries a question over and its answer back; a fall or a long silence ends it without one. */
  #ask<T>(simNode: SimNode, run: (resolveCall: (value: T) => void) => void, giveUp: () => T): Promise<T> {
    const { world } = this.#nodes;
    return new Promise((resolve) => {
      let isDone = false;
      const finish = (make: () => T): void => {
        if (isDone) return;
        isDone = true;
        forget();
        resolve(make());
      };
      const forget = simNode.onFall(() => this.#afterWire(() => finish(giveUp)));
      world.at(world.now + SimPort.giveUpMs, () => finish(giveUp));
      this.#onNode(simNode, () =>
        run((value) => {
          if (!simNode.body.isDead) this.#afterWire(() => finish(() => value));
        }),
      );
    });
  }

  #later<T>(value: T): Promise<T> {
    return new Promise((resolve) => this.#afterWire(() => resolve(value)));
  }

  #afterWire(run: () => void): void {
    const { world } = this.#nodes;
    world.at(world.now + 1, run);
  }

  /** Runs on the node after the wire, once it is not paused, unless it falls first. */
  #onNode(simNode: SimNode, run: () => void): void {
    const { world } = this.#nodes;
    const arrive = (): void => {
      if (simNode.body.isDead) return;
      if (simNode.body.pausedUntil > world.now) return void world.at(simNode.body.pausedUntil, arrive);
      run();
    };
    world.at(world.now + 1, arrive);
  }
}
