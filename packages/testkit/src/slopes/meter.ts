import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";

setFlagsFromString("--expose-gc");
const collect = runInNewContext("gc") as () => void;

/** What a piece of work costs this process. */
export const Meter = {
  /** Bytes of live heap and of buffers outside it. */
  live(): number {
    for (let i = 0; i < 3; i += 1) collect();
    const { heapUsed, external } = process.memoryUsage();
    return heapUsed + external;
  },

  /** Bytes that live on in what `make` returns. */
  heldBy(make: () => unknown): number {
    const before = Meter.live();
    const made = make();
    const held = Meter.live() - before;
    return made === undefined ? 0 : held;
  },

  /** Microseconds of processor time. */
  async processor(work: () => unknown): Promise<number> {
    const before = process.cpuUsage();
    await work();
    const { user, system } = process.cpuUsage(before);
    return user + system;
  },
};
