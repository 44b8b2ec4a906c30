import type { RandomSource } from "./random.js";
import type { Clock } from "./clock.js";
import type { Disk } from "../storage/disk.js";
import type { LogBuffer } from "./logBuffer.js";
import type { Transport } from "../transport/transport.js";
import type { Settings } from "./settings.js";

/** What a program hands its node: the four seams, the settings and the log. */
export interface NodeParts {
  readonly settings: Settings;
  readonly clock: Clock;
  readonly transport: Transport;
  readonly disk: Disk | undefined;
  readonly random: RandomSource;
  readonly log: LogBuffer;
  /** Rises with every start of the process under the same name. */
  readonly incarnation: number;
  /** Processor time of the process so far, in milliseconds; none given, none is reported. */
  readonly processorMs?: () => number;
}
