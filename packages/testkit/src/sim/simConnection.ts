import type { ClientConnection } from "@cranetrack/edge/connections/clientConnection.js";
import type { ConnectionHandlers } from "../clients/clientPort.js";
import type { SimNode } from "./simNode.js";

interface SimConnectionParts {
  /** The process that serves the connection. */
  simNode: SimNode;
  session: string;
  /** Sessions whose clients currently don't read. */
  stalled: ReadonlySet<string>;
  handlers: ConnectionHandlers;
  /** Runs a callback at the client after the network delay. */
  afterWire: (run: () => void) => void;
  /** Runs a callback on the node after the network delay, once the node is not paused. */
  onNode: (run: () => void) => void;
}

/**
 * Both ends of a client's streaming connection in the simulator. The edge uses it as a `ClientConnection`; the client
 * receives lines and the close after the network delay.
 */
export class SimConnection implements ClientConnection {
  readonly #parts: SimConnectionParts;
  #isClientGone = false;
  #isServerGone = false;
  #waitingBytes = 0;
  #whenClosed = (): void => undefined;
  #stopWatching = (): void => undefined;

  constructor(parts: SimConnectionParts) {
    this.#parts = parts;
  }

  /** Bytes sent to a client that does not read. */
  get bufferedBytes(): number {
    return this.#waitingBytes;
  }

  get isClosed(): boolean {
    return this.#isServerGone;
  }

  send(line: Parameters<ClientConnection["send"]>[0]): void {
    const { simNode, session, stalled, handlers, afterWire } = this.#parts;
    if (this.#isServerGone || simNode.processState.isDead) return;
    const text = JSON.stringify(line);
    if (stalled.has(session)) return void (this.#waitingBytes += text.length);
    afterWire(() => {
      if (!this.#isClientGone) handlers.onLine(JSON.parse(text) as Record<string, unknown>);
    });
  }

  /** Called when the edge closes the connection, or when its process ends. */
  close(): void {
    const { handlers, afterWire } = this.#parts;
    this.stopWatchingNode();
    if (this.#isClientGone) return;
    this.#isServerGone = true;
    afterWire(() => {
      if (!this.#isClientGone) handlers.onClosed();
    });
  }

  onClose(whenClosed: () => void): void {
    this.#whenClosed = whenClosed;
  }

  closeByClient(): void {
    this.#isClientGone = true;
    this.stopWatchingNode();
    this.#parts.onNode(() => {
      if (this.#isServerGone) return;
      this.#isServerGone = true;
      this.#whenClosed();
    });
  }

  /** Closes the connection when the process ends, until `stopWatchingNode`. */
  watchNode(): void {
    this.#stopWatching = this.#parts.simNode.onEnd(() => this.close());
  }

  stopWatchingNode(): void {
    this.#stopWatching();
  }
}
