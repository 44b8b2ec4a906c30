import type { ClientPort, ConnectionHandlers, PortConnection, PortReply } from "../clients/clientPort.js";
import { SimConnection } from "./simConnection.js";
import type { SimNode } from "./simNode.js";
import type { SimWorld } from "./simWorld.js";
import { Router } from "@cranetrack/core/http/router.js";
import type { ApiReply } from "@cranetrack/core/http/apiReply.js";

const unreachable: PortReply = { status: 503, body: { error: { code: "unreachable" } }, retryAfterSeconds: 0.3 };

/** Looks up the machines that clients reach. */
interface NodeLookup {
  readonly world: SimWorld;
  /** The process that currently runs under a name. */
  find(name: string): SimNode | undefined;
}

/** An answer when a node gave it, whether or not it arrives. */
export interface NodeAnswer {
  name: string;
  method: string;
  path: string;
  status: number;
  text: string;
}

/** Clients' network in the simulator: latency both ways, resets when a node ends, no replies while it is paused. */
export class SimPort implements ClientPort {
  /** Time after which a client gives up a call. */
  static readonly callTimeoutMs = 4000;
  /** Time after which an operator treats an answer as lost. */
  static readonly answerTimeoutMs = 1000;
  readonly #nodes: NodeLookup;
  /** Sessions whose clients do not read; data sent to them counts as waiting bytes. */
  readonly stalled = new Set<string>();
  /** Share (0 to 1) of the answers to operators' changes that is lost in transit. */
  answerLoss = 0;
  /** Share (0 to 1) of the acknowledgements of publishes that is lost in transit. */
  acknowledgementLoss = 0;
  /** Listeners called with each answer at the time when a node gives it. */
  readonly onAnswer = new Set<(answer: NodeAnswer) => void>();

  constructor(nodes: NodeLookup) {
    this.#nodes = nodes;
  }

  async openConnection(
    name: string,
    session: string,
    body: object,
    handlers: ConnectionHandlers,
  ): Promise<PortConnection | PortReply> {
    const simNode = this.#nodes.find(name);
    if (simNode?.edge === undefined) return this.#resolveAfterWire(unreachable);
    const connection = new SimConnection({
      simNode,
      session,
      stalled: this.stalled,
      handlers,
      afterWire: (run) => this.#afterWire(run),
      onNode: (run) => this.#onNode(simNode, run),
    });
    const close = (): void => connection.closeByClient();
    return this.#exchange<PortConnection | PortReply>(
      simNode,
      (resolveCall) => {
        connection.watchNode();
        void simNode
          .edgeCalls!.connection(session, Buffer.from(JSON.stringify(body)), () => {
            resolveCall({ close });
            return connection;
          })
          .then((reply) => {
            if (reply === undefined) return;
            connection.stopWatchingNode();
            resolveCall(SimPort.#toPortReply(reply));
          });
      },
      () => {
        close();
        return { status: 0, body: {}, retryAfterSeconds: 0.3 };
      },
    );
  }

  /** One request and its reply; replies are lost by `answerLoss` and `acknowledgementLoss`. */
  call(name: string, method: string, path: string, body: string | undefined): Promise<PortReply> {
    const answered = this.run(name, async (simNode) => {
      const reply = await simNode.router.run(method, path, Buffer.from(body ?? ""));
      if (!simNode.processState.isDead)
        for (const listener of this.onAnswer) listener({ name, method, path, status: reply.status, text: body ?? "" });
      return reply;
    });
    const isOrder = method !== "GET" && method !== "POST";
    const isPublish = method === "POST" && path.endsWith("/messages");
    const loss = isOrder ? this.answerLoss : isPublish ? this.acknowledgementLoss : 0;
    const { world } = this.#nodes;
    if (loss === 0 || world.random.draw() >= loss) return answered;
    // The connection of a publisher is reset, so that it knows at once; an operator waits.
    if (isPublish) return answered.then((reply) => (reply.status === 200 ? SimPort.#brokenReply() : reply));
    return new Promise(
      (resolve) => void world.at(world.now + SimPort.answerTimeoutMs, () => resolve(SimPort.#brokenReply())),
    );
  }

  /** Runs a function on a node's process, with the same network delays and failures as `call`. */
  run(name: string, run: (simNode: SimNode) => Promise<ApiReply>): Promise<PortReply> {
    const simNode = this.#nodes.find(name);
    if (simNode === undefined) return this.#resolveAfterWire(unreachable);
    return this.#exchange<PortReply>(
      simNode,
      (resolveCall) => void run(simNode).then((reply) => resolveCall(SimPort.#toPortReply(reply))),
      SimPort.#brokenReply,
    );
  }

  static #brokenReply(): PortReply {
    return { status: 0, body: { error: { code: "broken" } }, retryAfterSeconds: 0.3 };
  }

  static #toPortReply(reply: ApiReply): PortReply {
    const raw = typeof reply.body === "string" ? reply.body : Buffer.from(Router.encode(reply.body)).toString();
    let body: Record<string, unknown> = {};
    try {
      body = JSON.parse(raw) as Record<string, unknown>;
    } catch {
      body = {};
    }
    return { status: reply.status, body: { ...body, raw }, retryAfterSeconds: reply.retryAfterSeconds };
  }

  /** Runs a request on a node and returns its reply, or the failure reply if the node ends or the call times out. */
  #exchange<T>(simNode: SimNode, run: (resolveCall: (value: T) => void) => void, failureReply: () => T): Promise<T> {
    const { world } = this.#nodes;
    return new Promise((resolve) => {
      let isDone = false;
      const finish = (make: () => T): void => {
        if (isDone) return;
        isDone = true;
        stopListening();
        resolve(make());
      };
      const stopListening = simNode.onEnd(() => this.#afterWire(() => finish(failureReply)));
      world.at(world.now + SimPort.callTimeoutMs, () => finish(failureReply));
      this.#onNode(simNode, () =>
        run((value) => {
          if (!simNode.processState.isDead) this.#afterWire(() => finish(() => value));
        }),
      );
    });
  }

  #resolveAfterWire<T>(value: T): Promise<T> {
    return new Promise((resolve) => this.#afterWire(() => resolve(value)));
  }

  #afterWire(run: () => void): void {
    const { world } = this.#nodes;
    world.at(world.now + 1, run);
  }

  /** Runs a callback on the node after the network delay, once it is not paused, unless the process ends first. */
  #onNode(simNode: SimNode, run: () => void): void {
    const { world } = this.#nodes;
    const arrive = (): void => {
      if (simNode.processState.isDead) return;
      if (simNode.processState.pausedUntil > world.now) return void world.at(simNode.processState.pausedUntil, arrive);
      run();
    };
    world.at(world.now + 1, arrive);
  }
}
