/** A node's answer to one request of the HTTP API; status 0 where the connection broke before one came. */
export interface PortReply {
  status: number;
  body: Record<string, unknown>;
  retryAfterSeconds: number | undefined;
}

/** The client's end of a long connection. */
export interface PortConnection {
  close(): void;
}

/** What a client does with the lines of its long connection, and when the node closes it. */
export interface ConnectionHandlers {
  line(line: Record<string, unknown>): void;
  closed(): void;
}

/** How a client reaches nodes: over HTTP in a real fleet, through virtual wires in the simulator. */
export interface ClientPort {
  /** Opens a connection; resolves with the reply where it was refused. */
  connection(
    node: string,
    session: string,
    body: object,
    handlers: ConnectionHandlers,
  ): Promise<PortConnection | PortReply>;
  call(node: string, method: string, path: string, body: string | undefined): Promise<PortReply>;
}
