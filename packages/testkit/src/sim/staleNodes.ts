import { SimLoad } from "./simLoad.js";
import type { SimFleet } from "./simFleet.js";
import type { TestFleet } from "./testClient.js";
import { documentTextOf } from "@cranetrack/core/configuration/documentBuilder.js";

/** Time in ms after an acknowledgement by which no node with a fresh feed acts on an older configuration. */
export const staleActionBoundMs = 3000;

/** Proposes the usual configuration at one node until it is accepted; returns its version, 0 after 20 attempts. */
export async function proposeUntilAccepted({ fleet, load, ask }: TestFleet, at: string): Promise<number> {
  const version = load.nextVersion;
  const body = documentTextOf(SimLoad.configuration(version));
  for (let tries = 0; tries < 20; tries += 1) {
    if ((await ask(at, "PUT", "/v1/plan", body))["status"] === 200) return version;
    await fleet.run(300);
  }
  return 0;
}

/** Running nodes that consider their feed fresh and act on a configuration older than `version`. */
export const nodesActingOnOlderVersion = (fleet: SimFleet, version: number): string[] =>
  fleet.names.filter((name) => {
    const running = fleet.find(name);
    if (running === undefined || running.processState.pausedUntil > fleet.world.now) return false;
    return running.node.feed.isFresh && running.node.configuration.version < version;
  });
