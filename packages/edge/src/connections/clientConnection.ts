/** A client's one long connection, as a session sees it. */
export interface ClientConnection {
  /** Bytes handed over and not yet taken by the network. */
  readonly waitingBytes: number;
  readonly isClosed: boolean;
  send(line: object): void;
  close(): void;
  onClose(whenClosed: () => void): void;
}
