import type { Chance } from "./chance.js";
import type { Clock } from "./clock.js";
import type { Disk } from "./disk.js";
import type { LogRing } from "./logRing.js";
import type { Net } from "./net.js";
import type { Settings } from "./settings.js";

/** What a program hands its node: the four seams, the settings and the log. */
export interface NodeParts {
  readonly settings: Settings;
  readonly clock: Clock;
  readonly net: Net;
  readonly disk: Disk | undefined;
  readonly chance: Chance;
  readonly log: LogRing;
  /** Rises with every start of the process under the same name. */
  readonly incarnation: number;
}
