import { SimLoad } from "./simLoad.js";
import type { SimFleet } from "./simFleet.js";
import type { TestFleet } from "./hand.js";
import { documentTextOf } from "@cranetrack/core/configuration/documentBuilder.js";

/** Within this long after an acknowledgement nobody in touch acts on what was in force before. */
export const boundMs = 3000;

/** The version under which an operator had the usual configuration accepted, asking one node until it was. */
export async function accepted({ fleet, load, ask }: TestFleet, at: string): Promise<number> {
  const version = load.nextVersion;
  const body = documentTextOf(SimLoad.configuration(version));
  for (let tries = 0; tries < 20; tries += 1) {
    if ((await ask(at, "PUT", "/v1/plan", body))["status"] === 200) return version;
    await fleet.run(300);
  }
  return 0;
}

/** Nodes that take what they know for fresh and act on a lower version. */
export const actingOnOld = (fleet: SimFleet, version: number): string[] =>
  fleet.names.filter((name) => {
    const running = fleet.find(name);
    if (running === undefined || running.body.pausedUntil > fleet.world.now) return false;
    return running.node.feed.isFresh && running.node.configuration.version < version;
  });
