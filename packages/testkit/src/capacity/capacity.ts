import { assumed, targetSize as size } from "./capacitySize.js";
import { Slopes, type MeasuredSlope } from "./slopes.js";

export interface CapacityTable {
  id: string;
  columns: readonly string[];
  rows: ReadonlyArray<readonly string[]>;
}
type SlopesByName = Readonly<Record<string, MeasuredSlope>>;

const units = ["", "k", "M", "G", "T"];
/** Three figures and a thousand's letter. */
function short(value: number): string {
  const step = Math.max(0, Math.min(units.length - 1, Math.floor(Math.log10(Math.max(1, Math.abs(value))) / 3)));
  const scaled = value / 1000 ** step;
  return `${Number(scaled.toPrecision(3))}${units[step]}`;
}
const bytes = (value: number): string => `${short(value)}B`;
const cores = (microsecondsASecond: number): string => `${Number((microsecondsASecond / 1e6).toPrecision(3))} cores`;

/** Everything that the page works out, from slopes, the size and what is assumed. Pure arithmetic. */
export const Capacity = {
  needed: [
    ...["connection", "delivery", "subscription", "stream", "ownerKey", "ownerKeyTime", "ownerSnapshot", "lease"],
    ...["leaseTime", "feed", "feedTime", "feedPush", "rollout", "shardRoute", "shardSnapshot", "shardIdle", "member"],
    ...["memberTable", "watchers", "gossip", "gossipYoung", "feedIdle", "leaseIdle", "plan", "planHeap", "planTime"],
    "call",
  ],

  figures(slopes: SlopesByName) {
    const at = (name: string): number => Slopes.fit(slopes[name]!.points).slope;
    const callEnd = at("call") * assumed.callEnd.value;
    const perNode = size.connections / size.nodes;
    const publishes = size.deliveries / assumed.fanOut.value;
    const deliveries = size.deliveries / size.nodes;
    const claims = (2 * size.connections) / assumed.connectionLife.value;
    const claimTime = at("ownerKeyTime") + assumed.claimCalls.value * callEnd;
    const edgesARegion = size.nodes / size.regions;
    const edgesAZone = size.nodes / size.zones;
    const doublings = slopes["gossip"]!.points.map(([edges, value]) => [Math.log2(edges + 6), value] as const);
    const perDoubling = Slopes.fit(doublings);
    const gossip = perDoubling.base + perDoubling.slope * Math.log2(size.nodes);
    return {
      perNode,
      publishes,
      deliveries,
      claims,
      claimTime,
      callEnd,
      edgesARegion,
      edgesAZone,
      connectionBytes: perNode * (at("connection") + (assumed.subscriptions.value - 1) * at("subscription")),
      deliveryTime: deliveries * at("delivery"),
      publishTime: (publishes / size.nodes) * assumed.claimCalls.value * 2 * callEnd,
      pushTime: deliveries * callEnd,
      deliveriesACore: 1e6 / (at("delivery") + callEnd),
      routes: size.shards * at("shardRoute"),
      routesEnd: size.controlBytes / at("shardRoute"),
      groupRoutes: assumed.shardGroups.value * at("shardRoute"),
      snapshot: size.shards * at("shardSnapshot"),
      groupSnapshot: assumed.shardGroups.value * at("shardSnapshot"),
      shardIdle: (size.shards * at("shardIdle")) / size.nodes,
      shardIdleEnd: (size.nodes * size.controlTraffic) / at("shardIdle"),
      groupIdle: (assumed.shardGroups.value * at("shardIdle")) / size.nodes,
      kept: (publishes / size.nodes) * 3 * assumed.keptSeconds.value * assumed.messageBytes.value,
      owners: size.connections * at("ownerKey"),
      ownersEnd: assumed.heap.value / at("ownerKey"),
      ownerSnapshot: size.connections * at("ownerSnapshot"),
      claimsEnd: 1e6 / claimTime,
      groupOwners: (size.connections / assumed.groups.value) * at("ownerKey"),
      groupClaims: (claims / assumed.groups.value) * claimTime,
      renewals: 2 * size.nodes * (4 / 1.5) * callEnd,
      renewalsEnd: 1e6 / (2 * (4 / 1.5) * callEnd),
      leases: size.nodes * (at("lease") + at("feed")),
      leaseLook: size.nodes * at("leaseTime"),
      configurationBytes: assumed.spaces.value * at("plan"),
      configurationTraffic: (assumed.spaces.value * at("plan") * size.changesADay) / 86_400,
      configurationEnd: size.controlTraffic / ((at("plan") * size.changesADay) / 86_400),
      configurationTime: (assumed.spaces.value * at("planTime") * size.changesADay) / 86_400,
      configurationHeap: assumed.spaces.value * at("planHeap"),
      changeTraffic: (at("plan") * size.changesADay) / 86_400,
      changeTime: (at("planTime") * size.changesADay) / 86_400,
      feedTime: 2 * size.nodes * (at("feedTime") + 2 * callEnd),
      feedTraffic: at("feedIdle"),
      leaseTraffic: at("leaseIdle"),
      relayFeeds: size.nodes / (size.controlMachines - 5),
      relayTime: 2 * (size.nodes / (size.controlMachines - 5)) * (at("feedTime") + 2 * callEnd),
      rollout: size.nodes * at("rollout"),
      members: size.nodes * at("member"),
      table: size.nodes * at("memberTable"),
      watchers: size.nodes * at("watchers"),
      gossip,
      gossipTraffic: gossip * assumed.gossipSteps.value,
      gossipChosen: gossip * assumed.gossipSteps.value * assumed.gossipBeat.value,
      tellings: 4 + 2 * Math.log2(size.nodes),
      membershipUpdate: (4 + 2 * Math.log2(size.nodes)) * at("memberTable"),
      followToday: size.nodes * 2 * assumed.followBeatBytes.value,
      followChosen: edgesAZone * assumed.followBeats.value * assumed.followBeatBytes.value,
      replicaTraffic: assumed.replicaBeats.value * assumed.followBeatBytes.value,
      followEnd: size.controlTraffic / (2 * assumed.followBeatBytes.value),
      watchersEnd: (size.controlCore * 300_000) / at("watchers"),
      nodeTime: deliveries * (at("delivery") + 2 * callEnd) + (publishes / size.nodes) * 6 * callEnd,
      lastHop: (size.listeners / size.nodes) * (at("delivery") / 1000),
    };
  },

  processes(slopes: SlopesByName): number {
    const peak = (Capacity.figures(slopes).nodeTime * assumed.burst.value) / 1e6;
    return Math.ceil(peak / assumed.coreShare.value);
  },

  /** Ways to bring one message of the largest topic to all its edges. */
  trees(slopes: SlopesByName): Array<{ way: string; widths: number[]; sendMs: number; maxPerSecond: number }> {
    const { callEnd, lastHop, edgesARegion, edgesAZone } = Capacity.figures(slopes);
    const zonesARegion = size.zones / size.regions;
    const ways: Array<[string, number[]]> = [
      ["holder to every edge", [size.nodes]],
      ["holder to regions, region to its edges (today)", [size.regions, edgesARegion]],
      ["region, zone, edge", [size.regions, zonesARegion, edgesAZone]],
      ["region, zone, 18 relays a zone, edge (chosen)", [size.regions, zonesARegion, 18, edgesAZone / 18]],
    ];
    return ways.map(([way, widths]) => ({
      way,
      widths,
      sendMs: widths.reduce((sum, width) => sum + (width * callEnd) / 1000, lastHop),
      maxPerSecond: 1e6 / (Math.max(...widths) * callEnd),
    }));
  },

  /** One kind of failure: who comes back, how fast, and what it asks of a store group and of each node left. */
  failures(
    slopes: SlopesByName,
  ): Array<{ what: string; nodes: number; connections: number; rate: number; load: number }> {
    const { perNode, claimTime } = Capacity.figures(slopes);
    const kinds: Array<[string, number, number]> = [
      ["a machine fails", 1, assumed.machineReturnSeconds.value],
      ["a node restarts, politely", 1, assumed.machineReturnSeconds.value],
      ["a rack or switch", assumed.rackNodes.value, assumed.returnSeconds.value],
      ["a zone", size.nodes / size.zones, assumed.returnSeconds.value],
    ];
    return kinds.map(([what, nodes, seconds]) => {
      const rate = (nodes * perNode) / seconds;
      return { what, nodes, connections: nodes * perNode, rate, load: (rate * claimTime) / assumed.groups.value / 1e6 };
    });
  },

  tables(slopes: SlopesByName): CapacityTable[] {
    const f = Capacity.figures(slopes);
    const columns = ["quantity", "today's mechanism at that size", "it ends at", "chosen mechanism at that size"];
    const role = (id: string, rows: string[][]): CapacityTable => ({ id, columns, rows });
    return [
      role("edge", [
        ["memory of connections, a node", bytes(f.connectionBytes), `${short(2000)} links by default`, "the same"],
        ["deliveries, a node", `${short(f.deliveries)}/s, ${cores(f.deliveryTime)}`, "", "the same"],
        ["pushes taken in, a node", cores(f.pushTime), "", "the same"],
        [
          "all of a node's traffic at the peak, one process on one core",
          cores(f.nodeTime * assumed.burst.value),
          `${short(f.deliveriesACore)} deliveries/s, as edge alone`,
          `${Capacity.processes(slopes)} processes a node`,
        ],
        [
          "follow beats with holders",
          `${bytes(f.followToday)}/s`,
          `${short(f.followEnd)} holders an edge`,
          `${bytes(f.followChosen)}/s`,
        ],
      ]),
      role("relay", [
        ["pushes sent, a node", cores(f.pushTime), "one core", "one of the node's processes"],
        ...Capacity.trees(slopes).map(({ way, sendMs, maxPerSecond }) => [
          `largest topic: ${way}`,
          `${short(sendMs)} ms to send and hand on`,
          `${short(maxPerSecond)} messages/s`,
          "",
        ]),
      ]),
      role("holder", [
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
      ]),
      role("store", [
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
      ]),
      role("configuration", [
        [
          "configuration pushed, a node",
          `${bytes(f.configurationTraffic)}/s`,
          `${short(f.configurationEnd)} spaces`,
          `${bytes(f.changeTraffic)}/s as changes`,
        ],
        ["reading it, a node", cores(f.configurationTime), "", cores(f.changeTime)],
        ["memory, a node", bytes(f.configurationHeap), "", "the same"],
        [
          "all feeds' beats, at the lathes together",
          cores(f.feedTime),
          "",
          `${cores(f.relayTime)} at each of 16 relays`,
        ],
        ["feed beats, a node", `${bytes(f.feedTraffic)}/s`, "", "the same, renewals ride on them"],
        ["lease renewals, a node", `${bytes(f.leaseTraffic)}/s`, "", `${bytes(assumed.leaseRide.value)}/s`],
      ]),
      role("membership", [
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
      ]),
      role("operators", [
        [
          "marks of all nodes in one answer",
          bytes(f.rollout),
          "",
          bytes(f.rollout / (size.controlMachines - 5)) + " a relay",
        ],
      ]),
      {
        id: "budget",
        columns: ["control at a node, chosen mechanisms", "traffic", "memory"],
        rows: Capacity.budget(slopes).map(({ what, traffic, memory }) => [what, `${bytes(traffic)}/s`, bytes(memory)]),
      },
      {
        id: "failures",
        columns: ["failure", "nodes", "connections", "come back", "at a store group's proposer", "at each node left"],
        rows: Capacity.failures(slopes).map(({ what, nodes, connections, rate, load }) => [
          what,
          `${nodes}`,
          short(connections),
          `${short(rate)}/s`,
          `${Number(load.toPrecision(2))} cores`,
          `${short(rate / (size.nodes - nodes))}/s`,
        ]),
      },
      {
        id: "assumed",
        columns: ["assumed or chosen, not measured", "value"],
        rows: Object.values(assumed).map(({ what, value }) => [what, short(value)]),
      },
      {
        id: "slopes",
        columns: ["measured", "slope", "off the line", "sizes", "run", "date", "commit"],
        rows: Object.values(slopes).map(({ what, unit, per, points, command, date, commit }) => {
          const { slope, stray } = Slopes.fit(points);
          const off = `${(100 * stray).toFixed(1)} %`;
          const sizes = points.map(([one]) => short(one)).join(", ");
          return [
            what,
            `${Number(slope.toPrecision(3))} ${unit} per ${per}`,
            off,
            sizes,
            `\`${command}\``,
            date,
            commit,
          ];
        }),
      },
    ];
  },

  /** What control costs a node once the chosen mechanisms are built; the last row is the sum. */
  budget(slopes: SlopesByName): Array<{ what: string; traffic: number; memory: number }> {
    const f = Capacity.figures(slopes);
    const rows = [
      { what: "membership", traffic: f.gossipChosen, memory: f.members },
      { what: "feed and lease", traffic: f.feedTraffic + assumed.leaseRide.value, memory: 0 },
      { what: "configuration as changes", traffic: f.changeTraffic, memory: f.configurationHeap },
      { what: "shard groups", traffic: f.replicaTraffic, memory: f.groupRoutes },
      { what: "follow beats", traffic: f.followChosen, memory: 0 },
    ];
    const sum = (of: "traffic" | "memory"): number => rows.reduce((total, row) => total + row[of], 0);
    return [...rows, { what: "together", traffic: sum("traffic"), memory: sum("memory") }];
  },

  markdown({ columns, rows }: CapacityTable): string {
    const line = (cells: readonly string[]): string => `| ${cells.join(" | ")} |`;
    return [line(columns), line(columns.map(() => "---")), ...rows.map(line)].join("\n");
  },

  /** A page with its tables between their versions as they are now. */
  fill(page: string, slopes: SlopesByName): string {
    return Capacity.tables(slopes).reduce((text, table) => {
      const [open, end] = [`<!-- table ${table.id} -->`, `<!-- end ${table.id} -->`];
      const [from, to] = [text.indexOf(open), text.indexOf(end)];
      if (from < 0 || to < from) throw new Error(`the page has no place for the table ${table.id}`);
      return `${text.slice(0, from + open.length)}\n${Capacity.markdown(table)}\n${text.slice(to)}`;
    }, page);
  },
};
