/** A node's reply to one request of the HTTP API; status 0 if the connection broke before the reply. */
export interface PortReply {
  status: number;
  body: Record<string, unknown>;
  retryAfterSeconds: number | undefined;
}

/** The client's end of a long connection. */
export interface PortConnection {
  close(): void;
}

/** Callbacks for each line of a long connection and for its end. */
export interface ConnectionHandlers {
  onLine(line: Record<string, unknown>): void;
  onClosed(): void;
}

/** How a client reaches nodes: over HTTP in a real fleet, over simulated connections in the simulator. */
export interface ClientPort {
  /** Opens a long connection for a session; resolves with the reply if the node refused it. */
  openConnection(
    node: string,
    session: string,
    body: object,
    handlers: ConnectionHandlers,
  ): Promise<PortConnection | PortReply>;
  /** Sends one request. */
  call(node: string, method: string, path: string, body: string | undefined): Promise<PortReply>;
}
