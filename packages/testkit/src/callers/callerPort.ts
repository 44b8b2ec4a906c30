export interface PortReply {
  status: number;
  body: Record<string, unknown>;
  comeBack: number | undefined;
}
export interface PortLink {
  close(): void;
}

/** How a stand-in reaches nodes: over HTTP in a real fleet, through virtual wires in the simulator. */
export interface CallerPort {
  /** Opens a link; resolves with the receipt where it was refused. */
  link(
    node: string,
    session: string,
    body: object,
    heed: { line(line: Record<string, unknown>): void; closed(): void },
  ): Promise<PortLink | PortReply>;
  call(node: string, method: string, path: string, body: string | undefined): Promise<PortReply>;
}
