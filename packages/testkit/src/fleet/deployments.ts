import { knownName } from "../names/knownName.js";
import type { Settings } from "@cranetrack/core/runtime/settings.js";
import type { Configuration } from "@cranetrack/core/configuration/configuration.js";

/** One machine of a fleet. Its name decides which shards and replicas it gets. */
export interface Machine {
  name: string;
  role: "lathe" | "anvil" | "vise";
  zone: string;
  /** Settings of this machine alone. */
  settings?: Partial<Settings>;
}

/** A fleet and its load, modelled on one of the users' deployments. */
export interface Deployment {
  name: string;
  zones: string[];
  edges: number;
  connections: number;
  /** Topics on which every client publishes; `reads` is how many of them a client subscribes to. */
  shared: { space: string; topics: number; perSecond: number; reads: number };
  /** Topics on which only the first `senders` clients publish. */
  broadcast: { space: string; topics: number; perSecond: number; reads: number; senders: number };
  /** Topics of a space without retention, whose senders publish without waiting for replies. */
  ephemeral?: EphemeralTopics;
  /** Number of control nodes that also store the topic logs; they replace control nodes and storage machines. */
  storingControlNodes?: number;
}

/** Topics without retention, and their clients. */
export interface EphemeralTopics {
  space: string;
  topics: number;
  /** Messages a second, of all senders together. */
  perSecond: number;
  senders: number;
  readers: number;
}

/** The users' two current deployments as they describe them, and two small ones for tests. */
const deployments: Record<string, Deployment> = {
  reefline: {
    name: "reefline",
    zones: ["brisbane", "townsville", "toowoomba"],
    edges: 9,
    connections: 400,
    shared: { space: "clips", topics: 435, perSecond: 140, reads: 8 },
    broadcast: { space: "rundown", topics: 15, perSecond: 15, reads: 3, senders: 3 },
  },
  adwen: {
    name: "adwen",
    zones: ["accra", "kumasi", "takoradi"],
    edges: 6,
    connections: 410,
    shared: { space: "quotes", topics: 715, perSecond: 200, reads: 8 },
    broadcast: { space: "cuts", topics: 15, perSecond: 15, reads: 3, senders: 3 },
  },
  small: {
    name: "small",
    zones: ["north", "south", "west"],
    edges: 2,
    connections: 24,
    shared: { space: "notes", topics: 20, perSecond: 30, reads: 4 },
    broadcast: { space: "notices", topics: 2, perSecond: 5, reads: 2, senders: 1 },
  },
  /** Control nodes that also store topic logs on three machines, as on the users' control sites. */
  control: {
    name: "control",
    zones: ["north", "south", "west"],
    edges: 3,
    connections: 24,
    shared: { space: "notes", topics: 24, perSecond: 40, reads: 4 },
    broadcast: { space: "notices", topics: 2, perSecond: 5, reads: 2, senders: 1 },
    ephemeral: { space: "passing", topics: 4, perSecond: 40, senders: 3, readers: 6 },
    storingControlNodes: 3,
  },
};

/** Settings of control nodes that also store: a repair completes within the users' time between two disk losses. */
const storingControlNodeSettings: Partial<Settings> = {
  stores: true,
  shards: 12,
  disk: "journal",
  replaceVoterMs: 1366,
  replaceReplicaMs: 3075,
  replaceByNewcomerMs: 820,
};

export const Deployments = {
  names: Object.keys(deployments),

  /** Finds a deployment by its name; throws `UnknownNameError` if there is none. */
  find(name: string): Deployment {
    return deployments[knownName("deployment", name, Deployments.names)]!;
  },

  /** The machines of a deployment, spread over its zones. */
  machines({ zones, edges, name, storingControlNodes }: Deployment): Machine[] {
    const zoneOf = (i: number): string => zones[i % zones.length]!;
    const make = (role: Machine["role"], count: number): Machine[] =>
      Array.from({ length: count }, (_, i) => ({ name: `${role}-${i + 1}`, role, zone: zoneOf(i) }));
    if (storingControlNodes !== undefined) {
      const controlNodes = make("lathe", storingControlNodes).map((machine) => ({
        ...machine,
        settings: storingControlNodeSettings,
      }));
      const edgeMachines = make("vise", edges).map((machine) => ({ ...machine, settings: { shards: 12 } }));
      return [...controlNodes, ...edgeMachines];
    }
    return [...make("lathe", name === "small" ? 3 : 5), ...make("anvil", 3), ...make("vise", edges)];
  },

  /** A deployment's configuration under a version. */
  configuration({ shared, broadcast, ephemeral }: Deployment, version: number): Configuration {
    const ephemeralContract = { keep: 0, order: "sender" as const, fault_budget: {} };
    const ephemeralSpaces =
      ephemeral === undefined ? [] : [{ name: ephemeral.space, program: [{ when: {}, contract: ephemeralContract }] }];
    const senders = Array.from({ length: broadcast.senders }, (_, i) => `sender-${i + 1}`);
    return {
      version,
      spaces: [
        {
          name: shared.space,
          program: [
            { when: {}, contract: { keep: 120, order: "sender", fault_budget: { machines: 1 }, maxBytes: 8192 } },
          ],
        },
        {
          name: broadcast.space,
          program: [
            {
              when: {},
              contract: {
                keep: 300,
                order: "space",
                fault_budget: { machines: 1, zones: 1 },
                publishers: senders,
                maxBytes: 8192,
              },
            },
          ],
        },
        ...ephemeralSpaces,
      ],
    };
  },
};
