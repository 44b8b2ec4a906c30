/** A client's long-lived connection, independent of its protocol. */
export interface ClientConnection {
  /** Bytes sent on the connection that the network has not accepted yet. */
  readonly bufferedBytes: number;
  /** True once either side has closed the connection. */
  readonly isClosed: boolean;
  /** Sends one event to the client; does nothing once the connection is closed. */
  send(line: object): void;
  /** Closes the connection after what was already sent. Idempotent. */
  close(): void;
  /** Sets the listener that is called when either side closes the connection. */
  onClose(listener: () => void): void;
}
