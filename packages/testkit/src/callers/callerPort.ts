export interface PortReply {
  status: number;
  body: Record<string, unknown>;
  retryAfterSeconds: number | undefined;
}
export interface PortConnection {
  close(): void;
}

/** How a stand-in reaches nodes: over HTTP in a real fleet, through virtual wires in the simulator. */
export interface ClientPort {
  /** Opens a connection; resolves with the reply where it was refused. */
  connection(
    node: string,
    session: string,
    body: object,
    heed: { line(line: Record<string, unknown>): void; closed(): void },
  ): Promise<PortConnection | PortReply>;
  call(node: string, method: string, path: string, body: string | undefined): Promise<PortReply>;
}
