/** Frames of one kind since the process started. `sentBytes` is the encoded length of the frames sent. */
export interface KindTraffic {
  sent: number;
  sentBytes: number;
  received: number;
}

/** Counts the frames of a process by kind. The protocol defines the kinds, so the number of counters is bounded. */
export class FrameTraffic {
  readonly #kinds = new Map<string, KindTraffic>();

  /** Counts a frame that was encoded to be sent; `bytes` is its length. */
  onSent(kind: string | undefined, bytes: number): void {
    const traffic = this.#of(kind);
    traffic.sent += 1;
    traffic.sentBytes += bytes;
  }

  /** Counts a received frame. */
  onReceived(kind: string | undefined): void {
    this.#of(kind).received += 1;
  }

  /** The counters by kind, since the process started. */
  counts(): Record<string, KindTraffic> {
    return Object.fromEntries([...this.#kinds].map(([kind, traffic]) => [kind, { ...traffic }]));
  }

  #of(kind = "none"): KindTraffic {
    let traffic = this.#kinds.get(kind);
    if (traffic === undefined) this.#kinds.set(kind, (traffic = { sent: 0, sentBytes: 0, received: 0 }));
    return traffic;
  }
}
