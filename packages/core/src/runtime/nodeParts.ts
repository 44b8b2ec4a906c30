import type { RandomSource } from "./random.js";
import type { Clock } from "./clock.js";
import type { Disk } from "../storage/disk.js";
import type { LogBuffer } from "./logBuffer.js";
import type { Transport } from "../transport/transport.js";
import type { Settings } from "./settings.js";

/** What a program passes to its node: settings, log, and the clock, transport, disk and random source. */
export interface NodeParts {
  readonly settings: Settings;
  readonly clock: Clock;
  readonly transport: Transport;
  readonly disk: Disk | undefined;
  readonly random: RandomSource;
  readonly log: LogBuffer;
  /** Increases with every start of the process under the same name. */
  readonly incarnation: number;
  /** CPU time of the process so far, in milliseconds; without it, 0 is reported. */
  readonly processorMs?: () => number;
}
