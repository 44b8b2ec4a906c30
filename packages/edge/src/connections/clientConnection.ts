/** A client's one long connection, as a session sees it. */
export interface ClientConnection {
  /** Bytes handed over and not yet taken by the network. */
  readonly waitingBytes: number;
  readonly isClosed: boolean;
  /** Hands one line over; nothing is sent after the close. */
  send(line: object): void;
  /** Ends it with what was sent; idempotent. */
  close(): void;
  onClose(whenClosed: () => void): void;
}
