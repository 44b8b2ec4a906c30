import { readFileSync } from "node:fs";
import { type } from "arktype";

const address = type("/^[0-9a-fA-F.:\\[\\]]+:[0-9]{1,5}$/");

const settingsType = type({
  "+": "reject",
  name: "/^[a-z0-9][a-z0-9-]{0,62}$/",
  role: "'lathe' | 'anvil' | 'vise'",
  zone: "1 <= string <= 64",
  /** What lies close together: traffic between regions is dear. */
  "region?": "1 <= string <= 64",
  address,
  /** Where to listen, if not at the address that others know. */
  "listen?": address,
  /** Without it the program has no HTTP front of its own. */
  "http?": address,
  /** Where an edge's clients connect, if not at its HTTP front; clients of a node that stops are sent there. */
  "clients?": address,
  seeds: address.array().atLeastLength(1).atMostLength(9),
  /**
   * Addresses of the control nodes that found the store, all of them together; without them any `control nodes` blank
   * ones do.
   */
  "founders?": address.array().atLeastLength(1).atMostLength(9),
  /** False: never founds a store; joins one, or goes on with what its disk has. */
  mayFound: "boolean = true",
  controlNodes: "1 <= number.integer <= 9",
  /** How many control nodes are members of the store; without it as many as found it. Others stand by. */
  "voters?": "1 <= number.integer <= 9",
  /** A member gone for longer is replaced by a control node that stands by. */
  replaceVoterMs: "1000 <= number.integer <= 3600000 = 10000",
  /** How many replicas each topic log has: 2f + 1, where f machines with a disk may be lost at once. */
  replicas: "1 <= number.integer <= 9 = 3",
  /** A replica silent for longer is replaced by any free machine; a machine that restarts should be back before. */
  replaceReplicaMs: "500 <= number.integer <= 3600000 = 10000",
  /** A replica silent for longer is replaced by a machine that joined about when it fell silent, its successor. */
  replaceByNewcomerMs: "300 <= number.integer <= 3600000 = 1000",
  /** A control node that also keeps topic logs as a full storage machine. */
  stores: "boolean = false",
  shards: "1 <= number.integer <= 256 = 32",
  "data?": "string > 0",
  /** How the data folder is kept, and the room in it. The journal also survives torn writes of any kind. */
  "disk?": "'lmdb' | 'journal'",
  "diskMb?": "16 <= number.integer <= 1000000",
  "log?": "string > 0",
  edgeLeaseMs: "1000 <= number.integer <= 60000 = 1500",
  shardLeaseMs: "1000 <= number.integer <= 60000 = 1500",
  electionMs: "200 <= number.integer <= 10000 = 300",
  maxConnections: "1 <= number.integer <= 100000 = 2000",
  bufferBytes: "1024 <= number.integer <= 67108864 = 1048576",
});

export type Settings = typeof settingsType.infer & { voters: number };
export type SettingsRead = { settings: Settings } | { problems: string[] };

/** One file or flags; unknown keys are errors; every problem gets a line. */
export const SettingsReader = {
  check(value: unknown): SettingsRead {
    const checked = settingsType(value);
    if (checked instanceof type.errors)
      return { problems: [...checked].map((fault) => `${fault.path.join(".") || "settings"}: ${fault.message}`) };
    const voters = checked.voters ?? checked.founders?.length ?? checked.controlNodes;
    const problems: string[] = [];
    if (checked.role !== "vise" && checked.data === undefined)
      problems.push(`data: a ${checked.role} needs a data folder`);
    if (checked.stores && checked.role !== "lathe") problems.push("stores: is for lathes only");
    if (checked.replicas % 2 === 0) problems.push("replicas: must be odd; an even set survives no more losses");
    for (const key of ["address", "http"] as const)
      if (Number(checked[key]?.split(":").at(-1) ?? 0) > 65535) problems.push(`${key}: the port is above 65535`);
    if (checked.address === checked.http) problems.push("http: must differ from address");
    return problems.length > 0 ? { problems } : { settings: { ...checked, voters } };
  },

  fromFile(path: string, flags: Record<string, unknown> = {}): SettingsRead {
    try {
      const read = JSON.parse(readFileSync(path, "utf8")) as unknown;
      if (typeof read !== "object" || read === null || Array.isArray(read))
        return { problems: [`${path}: must hold one JSON object`] };
      return SettingsReader.check({ ...read, ...flags });
    } catch (cause) {
      return { problems: [`${path}: ${(cause as Error).message}`] };
    }
  },
};
