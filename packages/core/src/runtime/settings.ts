import { readFileSync } from "node:fs";
import { type } from "arktype";
import { nodeRole, roleNameOf } from "../membership/nodeRole.js";
import { toCurrentNames } from "./earlierNames.js";

const address = type("/^[0-9a-fA-F.:\\[\\]]+:[0-9]{1,5}$/");

const settingsType = type({
  "+": "reject",
  name: "/^[a-z0-9][a-z0-9-]{0,62}$/",
  role: type("'control' | 'storage' | 'edge'").pipe((name) => nodeRole[name]),
  zone: "1 <= string <= 64",
  /** Region of the node: traffic between regions is expensive. */
  "region?": "1 <= string <= 64",
  address,
  /** Address to listen on, if it differs from `address`, which other nodes use. */
  "listen?": address,
  /** Address of the HTTP API; without it the node has none. */
  "http?": address,
  /** Where clients connect to an edge, if not at its HTTP address; a stopping node redirects its clients there. */
  "clients?": address,
  seeds: address.array().atLeastLength(1).atMostLength(9),
  /**
   * Addresses of the control nodes that together found (bootstrap) the store; without them, any `controlNodes` nodes
   * with an empty disk do.
   */
  "founders?": address.array().atLeastLength(1).atMostLength(9),
  /** False: the node never founds a store; it joins one, or continues with the data on its disk. */
  mayFound: "boolean = true",
  controlNodes: "1 <= number.integer <= 9",
  /** Number of voting control nodes; defaults to the number of founders. The others are standbys. */
  "voters?": "1 <= number.integer <= 9",
  /** A voter gone for longer than this many milliseconds is replaced by a standby control node. */
  replaceVoterMs: "1000 <= number.integer <= 3600000 = 10000",
  /** Number of replicas of each topic log: 2f + 1 tolerate the loss of f machines with a disk at once. */
  replicas: "1 <= number.integer <= 9 = 3",
  /** A replica silent for longer (ms) is replaced by any free machine; a restarting machine should be back sooner. */
  replaceReplicaMs: "500 <= number.integer <= 3600000 = 10000",
  /** A replica silent for longer (ms) is replaced by a machine that joined at about the time it fell silent. */
  replaceByNewcomerMs: "300 <= number.integer <= 3600000 = 1000",
  /** Whether a control node also stores topic logs, like a storage node. */
  stores: "boolean = false",
  shards: "1 <= number.integer <= 256 = 32",
  "data?": "string > 0",
  /** Format of the data folder. `journal` also survives torn writes of any kind; `diskMb` limits its size. */
  "disk?": "'lmdb' | 'journal'",
  "diskMb?": "16 <= number.integer <= 1000000",
  "log?": "string > 0",
  edgeLeaseMs: "1000 <= number.integer <= 60000 = 1500",
  shardLeaseMs: "1000 <= number.integer <= 60000 = 1500",
  electionMs: "200 <= number.integer <= 10000 = 300",
  /** Milliseconds after its acknowledgement during which a client may send a publish number again. */
  redeliveryMs: "0 <= number.integer <= 3600000 = 10000",
  maxConnections: "1 <= number.integer <= 100000 = 2000",
  bufferBytes: "1024 <= number.integer <= 67108864 = 1048576",
});

/** The validated settings of a node, with defaults filled in. Docs: `docs/settings.md`. */
export type Settings = typeof settingsType.infer & { voters: number };
/** The settings, or a line for each problem with them. */
export type SettingsRead = { settings: Settings } | { problems: string[] };
/** Receives a line for each earlier name that was used, with its current name. */
export type EarlierNameListener = (notice: string) => void;

/** Reads settings from a file or flags. Unknown keys are errors; each problem is a line that starts with its key. */
export const SettingsReader = {
  /** Validates settings and fills in defaults. */
  check(value: unknown, onEarlierName: EarlierNameListener = () => undefined): SettingsRead {
    if (typeof value !== "object" || value === null) return { problems: ["settings: must be an object"] };
    const { values, givenAs, notices, problems } = toCurrentNames(value as Record<string, unknown>);
    const checked = settingsType(values);
    if (checked instanceof type.errors) {
      const typeProblems = [...checked].map((fault) => {
        const [key = "settings", ...rest] = fault.path.map(String);
        return `${[givenAs.get(key) ?? key, ...rest].join(".")}: ${fault.message}`;
      });
      return { problems: [...problems, ...typeProblems] };
    }
    const voters = checked.voters ?? checked.founders?.length ?? checked.controlNodes;
    const allProblems = [...problems];
    if (checked.role !== nodeRole.edge && checked.data === undefined)
      allProblems.push(`data: a ${roleNameOf(checked.role)} node needs a data folder`);
    if (checked.stores && checked.role !== nodeRole.control) allProblems.push("stores: is for control nodes only");
    if (checked.replicas % 2 === 0) allProblems.push("replicas: must be odd; an even set survives no more losses");
    for (const key of ["address", "http"] as const)
      if (Number(checked[key]?.split(":").at(-1) ?? 0) > 65535) allProblems.push(`${key}: the port is above 65535`);
    if (checked.address === checked.http) allProblems.push("http: must differ from address");
    if (allProblems.length > 0) return { problems: allProblems };
    notices.forEach(onEarlierName);
    return { settings: { ...checked, voters } };
  },

  /** Reads a file that holds one JSON object; `flags` override its values. */
  fromFile(path: string, flags: Record<string, unknown> = {}, onEarlierName?: EarlierNameListener): SettingsRead {
    try {
      const content = JSON.parse(readFileSync(path, "utf8")) as unknown;
      if (typeof content !== "object" || content === null || Array.isArray(content))
        return { problems: [`${path}: must hold one JSON object`] };
      return SettingsReader.check({ ...content, ...flags }, onEarlierName);
    } catch (cause) {
      return { problems: [`${path}: ${(cause as Error).message}`] };
    }
  },
};
