import type { Mutant } from "./mutant.js";

const sim = "testkit/dist/sim";

/** Guards of the store's membership and of drains. */
export const membershipMutants: readonly Mutant[] = [
  {
    name: "elections in a joint configuration count one set",
    file: "control/dist/consensus/voterSets.js",
    find: "VoterSets.of(members).every(",
    put: "VoterSets.of(members).some(",
    test: "control/dist/consensus/voterSets.test.js",
  },
  {
    name: "commits in a joint configuration count the new set only",
    file: "control/dist/consensus/leadership.js",
    find: "VoterSets.idSets(members)",
    put: "[members.voters.map((one) => one.id)]",
    test: `${sim}/memberChanges.test.js`,
  },
  {
    name: "a joint configuration is never left",
    file: "control/dist/consensus/membershipChange.js",
    find: "index <= commit && VoterSets.isJoint(members)",
    put: "false",
    test: `${sim}/memberChanges.test.js`,
  },
  {
    name: "learners vote before they have caught up",
    file: "control/dist/membership/memberChanges.js",
    find: "return isCaughtUp && sinceHeardMs",
    put: "return sinceHeardMs",
    test: `${sim}/memberChanges.test.js`,
  },
  {
    name: "a blank disk's machine is waited for like a silent one",
    file: "control/dist/membership/memberChanges.js",
    find: "this.#isLost(member) || this.#isOnBlankDisk(member)",
    put: "this.#isLost(member)",
    test: `${sim}/memberChanges.test.js`,
  },
  {
    name: "a drain looks at replicas only",
    file: "control/dist/drain/drainStatus.js",
    find: "shardsLeft.length === 0 && !isLeader && !isVoter",
    put: "shardsLeft.length === 0",
    test: `${sim}/drains.test.js`,
  },
  {
    name: "a drain that was taken is judged anew",
    file: "control/dist/drain/drainMachine.js",
    find: "if (isDrainRequested(status, name))",
    put: "if (false)",
    test: `${sim}/drains.test.js`,
  },
  {
    name: "drains are judged against the same machines",
    file: "control/dist/drain/drainMachine.js",
    find: "checks: [{ key: DrainKey.requestsKey, revision: status.lastRequestRevision }],",
    put: "",
    test: `${sim}/drains.test.js`,
  },
  {
    name: "a drained machine may vote again",
    file: "control/dist/membership/memberChanges.js",
    find: "return isDraining || ",
    put: "return ",
    test: `${sim}/drains.test.js`,
  },
  {
    name: "a process that stops keeps its vote",
    file: "control/dist/controlNode.js",
    find: "membership.self.isLeaving = true;",
    put: "",
    test: `${sim}/memberChanges.test.js`,
  },
  {
    name: "a voter that goes no longer counts before that is committed",
    file: "control/dist/consensus/membershipChange.js",
    find: "index <= commit ? [members] : ",
    put: "index <= commit || true ? [members] : ",
    test: "control/dist/consensus/membershipChange.test.js",
  },
  {
    name: "changes of members overlap",
    file: "control/dist/consensus/membershipChange.js",
    find: "!this.isStable(commit) || ",
    put: "",
    test: "control/dist/consensus/membershipChange.test.js",
  },
  {
    name: "an older copy of a disk counts",
    file: "control/dist/membership/diskWatch.js",
    find: "!isOlder && ",
    put: "",
    test: `${sim}/disks.test.js`,
  },
  {
    name: "both copies of a disk count",
    file: "control/dist/membership/diskWatch.js",
    find: "!seen.isDuplicate && ",
    put: "",
    test: "control/dist/membership/diskWatch.test.js",
  },
  {
    name: "a disk votes in another machine",
    file: "control/dist/controlNode.js",
    find: " ?? this.founding.diskFault()",
    put: "",
    test: `${sim}/disks.test.js`,
  },
  {
    name: "whoever is not trusted is counted",
    file: "control/dist/controlNode.js",
    find: "isTrusted: (id) => this.#diskWatch.isTrusted(id)",
    put: "isTrusted: () => true",
    test: `${sim}/disks.test.js`,
  },
];
