import type { Frame } from "../gen/cranetrack_pb.js";

/** Whether another process waits for the effect of a frame, or the frame is periodic and will be sent again soon. */
export type Urgency = "awaited" | "background";

/**
 * Sends whole frames between addresses with the guarantees of a datagram: a frame may be lost, delayed or duplicated,
 * so no caller may rely on its arrival. The simulator has its own implementation.
 */
export interface Transport {
  /** The address at which other processes reach this one. */
  readonly address: string;
  /** Sends a frame. A connection that carries only background frames is pinged less often. */
  send(address: string, bytes: Uint8Array, urgency?: Urgency): void;
  /** False while the latest attempts to reach the address failed. */
  isReachable(address: string): boolean;
  /** Sets the handler called when the connection to an address breaks: frames sent over it may not have arrived. */
  onLost(handler: (address: string) => void): void;
  /** Closes the connection to an address, so that the next frame opens a new one. */
  drop(address: string): void;
  /** Sets the handler called with each decoded frame; invalid frames are not passed on. */
  onFrame(handler: (frame: Frame) => void): void;
}
