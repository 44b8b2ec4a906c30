/** The capacity page's tables, one function each: what stands in a cell, not how it is worked out. */
import { assumed, targetSize as size } from "./capacitySize.js";
import {
  budgetOf,
  failureLoads,
  fanOutTrees,
  figuresOf,
  processesANode,
  type SlopesByName,
} from "./capacityFigures.js";
import { Slopes } from "./slopes.js";

/** A table of the page; `id` names the place in the page that it goes to. */
export interface CapacityTable {
  id: string;
  columns: readonly string[];
  rows: ReadonlyArray<readonly string[]>;
}
type Figures = ReturnType<typeof figuresOf>;

const units = ["", "k", "M", "G", "T"];
/** Three figures and a thousand's letter. */
function short(value: number): string {
  const step = Math.max(0, Math.min(units.length - 1, Math.floor(Math.log10(Math.max(1, Math.abs(value))) / 3)));
  const scaled = value / 1000 ** step;
  return `${Number(scaled.toPrecision(3))}${units[step]}`;
}
const bytes = (value: number): string => `${short(value)}B`;
const cores = (microsecondsASecond: number): string => `${Number((microsecondsASecond / 1e6).toPrecision(3))} cores`;

/** The tables by role share their columns. */
const byRole = (id: string, rows: string[][]): CapacityTable => ({
  id,
  columns: ["quantity", "today's mechanism at that size", "it ends at", "chosen mechanism at that size"],
  rows,
});

function edgeTable(f: Figures, slopes: SlopesByName): CapacityTable {
  return byRole("edge", [
    ["memory of connections, a node", bytes(f.connectionBytes), `${short(2000)} links by default`, "the same"],
    ["deliveries, a node", `${short(f.deliveries)}/s, ${cores(f.deliveryTime)}`, "", "the same"],
    ["pushes taken in, a node", cores(f.pushTime), "", "the same"],
    [
      "all of a node's traffic at the peak, one process on one core",
      cores(f.nodeTime * assumed.burst.value),
      `${short(f.deliveriesACore)} deliveries/s, as edge alone`,
      `${processesANode(slopes)} processes a node`,
    ],
    [
      "follow beats with holders",
      `${bytes(f.followToday)}/s`,
      `${short(f.followEnd)} holders an edge`,
      `${bytes(f.followChosen)}/s`,
    ],
  ]);
}

function relayTable(f: Figures, slopes: SlopesByName): CapacityTable {
  return byRole("relay", [
    ["pushes sent, a node", cores(f.pushTime), "one core", "one of the node's processes"],
    ...fanOutTrees(slopes).map(({ way, sendMs, maxPerSecond }) => [
      `largest topic: ${way}`,
      `${short(sendMs)} ms to send and hand on`,
      `${short(maxPerSecond)} messages/s`,
      "",
    ]),
  ]);
}

function holderTable(f: Figures): CapacityTable {
  return byRole("holder", [
    [
      "routes in each node's memory",
      bytes(f.routes),
      `${short(f.routesEnd)} shards (256 by the settings)`,
      bytes(f.groupRoutes),
    ],
    ["routes in each node's first snapshot", bytes(f.snapshot), "", bytes(f.groupSnapshot)],
    [
      "idle shards' frames, a node",
      `${bytes(f.shardIdle)}/s`,
      `${short(f.shardIdleEnd)} shards`,
      `${bytes(f.groupIdle)}/s by group, before beats by pair of machines`,
    ],
    ["publishes, a node", `${short(f.publishes / size.nodes)}/s, ${cores(f.publishTime)}`, "one core", "as above"],
    ["kept messages in memory, a node", bytes(f.kept), "", "the same"],
  ]);
}

function storeTable(f: Figures): CapacityTable {
  return byRole("store", [
    [
      "owner records",
      bytes(f.owners),
      `${short(f.ownersEnd)} connections`,
      `${bytes(f.groupOwners)} in each of ${assumed.groups.value} groups`,
    ],
    ["snapshot of owner records", bytes(f.ownerSnapshot), "", bytes(f.ownerSnapshot / assumed.groups.value)],
    [
      "claims and releases",
      `${short(f.claims)}/s, ${cores(f.claims * f.claimTime)}`,
      `${short(f.claimsEnd)}/s`,
      `${cores(f.groupClaims)} at a group's proposer`,
    ],
    ["leases and feeds in memory", bytes(f.leases), "", "the same, in the root group"],
    [
      "renewals at the proposer",
      cores(f.renewals),
      `${short(f.renewalsEnd)} nodes`,
      `one lease a node, collected by 16 relays`,
    ],
    ["looking over the leases", cores(f.leaseLook), "", "the same"],
  ]);
}

function configurationTable(f: Figures): CapacityTable {
  return byRole("configuration", [
    [
      "configuration pushed, a node",
      `${bytes(f.configurationTraffic)}/s`,
      `${short(f.configurationEnd)} spaces`,
      `${bytes(f.changeTraffic)}/s as changes`,
    ],
    ["reading it, a node", cores(f.configurationTime), "", cores(f.changeTime)],
    ["memory, a node", bytes(f.configurationHeap), "", "the same"],
    ["all feeds' beats, at the lathes together", cores(f.feedTime), "", `${cores(f.relayTime)} at each of 16 relays`],
    ["feed beats, a node", `${bytes(f.feedTraffic)}/s`, "", "the same, renewals ride on them"],
    ["lease renewals, a node", `${bytes(f.leaseTraffic)}/s`, "", `${bytes(assumed.leaseRide.value)}/s`],
  ]);
}

function membershipTable(f: Figures): CapacityTable {
  return byRole("membership", [
    ["member table, a node", bytes(f.members), "", "the same"],
    ["table sent to a node that starts", bytes(f.table), "", "the same"],
    [
      "watchers named anew, a change",
      `${short(f.watchers / 1000)} ms`,
      `${short(f.watchersEnd)} members, while some change at each beat`,
      "by zone, one tenth",
    ],
    [
      "gossip sent and received, a node at rest",
      `${bytes(f.gossipTraffic)}/s`,
      "not by nodes at rest",
      `${bytes(f.gossipChosen)}/s`,
    ],
    ["one change told on, a node", bytes(f.membershipUpdate), "", "the same"],
    [
      "a zone's loss told on, a node",
      bytes((f.membershipUpdate * size.nodes) / size.zones),
      "",
      "one record for the zone",
    ],
  ]);
}

function operatorsTable(f: Figures): CapacityTable {
  return byRole("operators", [
    [
      "marks of all nodes in one answer",
      bytes(f.rollout),
      "",
      bytes(f.rollout / (size.controlMachines - 5)) + " a relay",
    ],
  ]);
}

function budgetTable(slopes: SlopesByName): CapacityTable {
  return {
    id: "budget",
    columns: ["control at a node, chosen mechanisms", "traffic", "memory"],
    rows: budgetOf(slopes).map(({ what, traffic, memory }) => [what, `${bytes(traffic)}/s`, bytes(memory)]),
  };
}

function failuresTable(slopes: SlopesByName): CapacityTable {
  return {
    id: "failures",
    columns: ["failure", "nodes", "connections", "come back", "at a store group's proposer", "at each node left"],
    rows: failureLoads(slopes).map(({ what, nodes, connections, rate, load }) => [
      what,
      `${nodes}`,
      short(connections),
      `${short(rate)}/s`,
      `${Number(load.toPrecision(2))} cores`,
      `${short(rate / (size.nodes - nodes))}/s`,
    ]),
  };
}

function assumedTable(): CapacityTable {
  return {
    id: "assumed",
    columns: ["assumed or chosen, not measured", "value"],
    rows: Object.values(assumed).map(({ what, value }) => [what, short(value)]),
  };
}

function slopesTable(slopes: SlopesByName): CapacityTable {
  return {
    id: "slopes",
    columns: ["measured", "slope", "off the line", "sizes", "run", "date", "commit"],
    rows: Object.values(slopes).map(({ what, unit, per, points, command, date, commit }) => {
      const { slope, stray } = Slopes.fit(points);
      const off = `${(100 * stray).toFixed(1)} %`;
      const sizes = points.map(([one]) => short(one)).join(", ");
      return [what, `${Number(slope.toPrecision(3))} ${unit} per ${per}`, off, sizes, `\`${command}\``, date, commit];
    }),
  };
}

/** All tables, in the order of the page. */
export function capacityTables(slopes: SlopesByName): CapacityTable[] {
  const f = figuresOf(slopes);
  return [
    edgeTable(f, slopes),
    relayTable(f, slopes),
    holderTable(f),
    storeTable(f),
    configurationTable(f),
    membershipTable(f),
    operatorsTable(f),
    budgetTable(slopes),
    failuresTable(slopes),
    assumedTable(),
    slopesTable(slopes),
  ];
}
