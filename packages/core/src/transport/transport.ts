import type { Frame } from "../gen/cranetrack_pb.js";

/** Whether somebody waits for what a frame brings about, or it will be said again soon. */
export type Urgency = "awaited" | "background";

/**
 * The net seam: whole frames between addresses, with the manners of a datagram.
 * A frame may be lost, late or doubled; nothing above may rest on its arrival.
 */
export interface Transport {
  readonly address: string;
  /** A connection that carries background alone is looked after less often. */
  send(address: string, bytes: Uint8Array, urgency?: Urgency): void;
  /** False while the last tries to reach the address failed. */
  isReachable(address: string): boolean;
  /** The held connection to an address broke: what was sent may not have arrived. */
  onLost(take: (address: string) => void): void;
  /** Lets go of the connection to an address, so that the next frame opens a fresh one. */
  drop(address: string): void;
  /** Frames come decoded, once; what was no frame is not handed on. */
  onFrame(take: (frame: Frame) => void): void;
}
