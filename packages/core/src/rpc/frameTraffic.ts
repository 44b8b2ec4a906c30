/** Frames of one kind since the start; bytes are those of frames that were sent, as they were encoded. */
export interface KindTraffic {
  sent: number;
  sentBytes: number;
  received: number;
}

/** Counts the frames of a process by kind. The kinds are those of the protocol, so that the counters stay few. */
export class FrameTraffic {
  readonly #kinds = new Map<string, KindTraffic>();

  /** A frame of a kind was encoded to be sent. */
  onSent(kind: string | undefined, bytes: number): void {
    const traffic = this.#of(kind);
    traffic.sent += 1;
    traffic.sentBytes += bytes;
  }

  /** A frame of a kind arrived. */
  onReceived(kind: string | undefined): void {
    this.#of(kind).received += 1;
  }

  /** By kind, since the start. */
  counts(): Record<string, KindTraffic> {
    return Object.fromEntries([...this.#kinds].map(([kind, traffic]) => [kind, { ...traffic }]));
  }

  #of(kind = "none"): KindTraffic {
    let traffic = this.#kinds.get(kind);
    if (traffic === undefined) this.#kinds.set(kind, (traffic = { sent: 0, sentBytes: 0, received: 0 }));
    return traffic;
  }
}
