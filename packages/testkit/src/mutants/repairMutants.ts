import type { Mutant } from "./mutant.js";

const sim = "testkit/dist/sim";

/** Guards of replica sets: where they are placed, when they are changed, and when a change may be decided. */
export const repairMutants: readonly Mutant[] = [
  {
    name: "lost replicas are never replaced",
    file: "log-storage/dist/repair/replicaRepair.js",
    find: "if (change === undefined)",
    put: "if (true)",
    test: `${sim}/shards.test.js`,
  },
  {
    name: "a set is put in force before its majority has everything",
    file: "log-storage/dist/repair/setChange.js",
    find: "upToDate.length >= Placement.majorityOf(set.members.length)",
    put: "upToDate.length >= 1",
    test: "log-storage/dist/repair/setChange.test.js",
  },
  {
    name: "a replica that may have lost its disk is counted on",
    file: "log-storage/dist/repair/setChange.js",
    find: "progress.sinceContactMs(id) < responseTimeoutMs",
    put: "true",
    test: "log-storage/dist/repair/setChange.test.js",
  },
  {
    name: "a successor is not told from any free machine",
    file: "log-storage/dist/repair/recentJoins.js",
    find: "joinedAt !== undefined && joinedAt >",
    put: "false && joinedAt >",
    test: `${sim}/replicaSets.test.js`,
  },
  {
    name: "any free machine is taken for a successor",
    file: "log-storage/dist/repair/recentJoins.js",
    find: "joinedAt !== undefined && joinedAt >",
    put: "true || joinedAt >",
    test: `${sim}/replicaSets.test.js`,
  },
  {
    name: "a drain does not look at what contracts ask of zones",
    file: "log-storage/dist/repair/replicaChoice.js",
    find: "vacancy.isVoluntary && this.#breaksContract(change, members)",
    put: "false",
    test: `${sim}/replicaSets.test.js`,
  },
  {
    name: "sets are placed without a look at zones",
    file: "log-storage/dist/repair/placement.js",
    find: "first.zone < second.zone ||",
    put: "false ||",
    test: "log-storage/dist/repair/placement.test.js",
  },
  {
    name: "a plan may ask for more losses than replicas survive",
    file: "control/dist/configuration/configurationCapacity.js",
    find: "if (replicas < needed)",
    put: "if (false)",
    test: `${sim}/configurationCapacity.test.js`,
  },
];
