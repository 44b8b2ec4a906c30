import type { ClientConnection } from "@cranetrack/edge/connections/clientConnection.js";
import type { ConnectionHandlers } from "../clients/clientPort.js";
import type { SimNode } from "./simNode.js";

interface SimConnectionParts {
  /** The process that serves the connection. */
  simNode: SimNode;
  session: string;
  /** Sessions whose clients don't read now. */
  stalled: ReadonlySet<string>;
  handlers: ConnectionHandlers;
  /** Runs after the wire's delay, at the client. */
  afterWire: (run: () => void) => void;
  /** Runs after the wire's delay, on the node, once it is not paused. */
  onNode: (run: () => void) => void;
}

/**
 * Both ends of a client's long connection in the simulator. The edge holds it as `ClientConnection`; the client's end
 * learns of lines and of the close a wire's delay later.
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

  /** Bytes that were sent to a client that does not read. */
  get waitingBytes(): number {
    return this.#waitingBytes;
  }

  get isClosed(): boolean {
    return this.#isServerGone;
  }

  send(line: Parameters<ClientConnection["send"]>[0]): void {
    const { simNode, session, stalled, handlers, afterWire } = this.#parts;
    if (this.#isServerGone || simNode.body.isDead) return;
    const text = JSON.stringify(line);
    if (stalled.has(session)) return void (this.#waitingBytes += text.length);
    afterWire(() => {
      if (!this.#isClientGone) handlers.line(JSON.parse(text) as Record<string, unknown>);
    });
  }

  /** The edge closes, or its process fell. */
  close(): void {
    const { handlers, afterWire } = this.#parts;
    this.forgetNode();
    if (this.#isClientGone) return;
    this.#isServerGone = true;
    afterWire(() => {
      if (!this.#isClientGone) handlers.closed();
    });
  }

  onClose(whenClosed: () => void): void {
    this.#whenClosed = whenClosed;
  }

  closeByClient(): void {
    this.#isClientGone = true;
    this.forgetNode();
    this.#parts.onNode(() => {
      if (this.#isServerGone) return;
      this.#isServerGone = true;
      this.#whenClosed();
    });
  }

  /** From now on the process's fall closes the connection, until `forgetNode`. */
  watchNode(): void {
    this.#stopWatching = this.#parts.simNode.onFall(() => this.close());
  }

  forgetNode(): void {
    this.#stopWatching();
  }
}
