/** The capacity page's arithmetic: what the target size costs, from measured slopes and what is assumed. Pure. */
import { assumed, targetSize as size } from "./capacitySize.js";
import { Slopes, type MeasuredSlope } from "./slopes.js";

/** Measured slopes by the names under which slopes.json keeps them. */
export type SlopesByName = Readonly<Record<string, MeasuredSlope>>;

const slopeOf = (slopes: SlopesByName, name: string): number => Slopes.fit(slopes[name]!.points).slope;

/** Rates of one node and of the whole, and the times of a call's end and a claim, on which the rest stands. */
function rateFigures(slopes: SlopesByName) {
  const callEnd = slopeOf(slopes, "call") * assumed.callEnd.value;
  return {
    perNode: size.connections / size.nodes,
    publishes: size.deliveries / assumed.fanOut.value,
    deliveries: size.deliveries / size.nodes,
    claims: (2 * size.connections) / assumed.connectionLife.value,
    claimTime: slopeOf(slopes, "ownerKeyTime") + assumed.claimCalls.value * callEnd,
    callEnd,
    edgesARegion: size.nodes / size.regions,
    edgesAZone: size.nodes / size.zones,
  };
}

/** Connections and deliveries of a node. */
function edgeFigures(slopes: SlopesByName) {
  const at = (name: string): number => slopeOf(slopes, name);
  const { perNode, publishes, deliveries, callEnd } = rateFigures(slopes);
  return {
    connectionBytes: perNode * (at("connection") + (assumed.subscriptions.value - 1) * at("subscription")),
    deliveryTime: deliveries * at("delivery"),
    publishTime: (publishes / size.nodes) * assumed.claimCalls.value * 2 * callEnd,
    pushTime: deliveries * callEnd,
    deliveriesACore: 1e6 / (at("delivery") + callEnd),
    nodeTime: deliveries * (at("delivery") + 2 * callEnd) + (publishes / size.nodes) * 6 * callEnd,
    lastHop: (size.listeners / size.nodes) * (at("delivery") / 1000),
  };
}

/** Shards' routes, idle frames and kept messages, and what following them costs. */
function shardFigures(slopes: SlopesByName) {
  const at = (name: string): number => slopeOf(slopes, name);
  const { publishes, edgesAZone } = rateFigures(slopes);
  return {
    routes: size.shards * at("shardRoute"),
    routesEnd: size.controlBytes / at("shardRoute"),
    groupRoutes: assumed.shardGroups.value * at("shardRoute"),
    snapshot: size.shards * at("shardSnapshot"),
    groupSnapshot: assumed.shardGroups.value * at("shardSnapshot"),
    shardIdle: (size.shards * at("shardIdle")) / size.nodes,
    shardIdleEnd: (size.nodes * size.controlTraffic) / at("shardIdle"),
    groupIdle: (assumed.shardGroups.value * at("shardIdle")) / size.nodes,
    kept: (publishes / size.nodes) * 3 * assumed.keptSeconds.value * assumed.messageBytes.value,
    followToday: size.nodes * 2 * assumed.followBeatBytes.value,
    followChosen: edgesAZone * assumed.followBeats.value * assumed.followBeatBytes.value,
    replicaTraffic: assumed.replicaBeats.value * assumed.followBeatBytes.value,
    followEnd: size.controlTraffic / (2 * assumed.followBeatBytes.value),
  };
}

/** Owner keys, leases and their renewals in the metadata store. */
function storeFigures(slopes: SlopesByName) {
  const at = (name: string): number => slopeOf(slopes, name);
  const { claims, claimTime, callEnd } = rateFigures(slopes);
  return {
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
  };
}

/** The configuration, the feeds that carry it, and the relays that may. */
function configurationFigures(slopes: SlopesByName) {
  const at = (name: string): number => slopeOf(slopes, name);
  const { callEnd } = rateFigures(slopes);
  return {
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
  };
}

/** Member tables and gossip. */
function membershipFigures(slopes: SlopesByName) {
  const at = (name: string): number => slopeOf(slopes, name);
  const doublings = slopes["gossip"]!.points.map(([edges, value]) => [Math.log2(edges + 6), value] as const);
  const perDoubling = Slopes.fit(doublings);
  const gossip = perDoubling.base + perDoubling.slope * Math.log2(size.nodes);
  return {
    members: size.nodes * at("member"),
    table: size.nodes * at("memberTable"),
    watchers: size.nodes * at("watchers"),
    gossip,
    gossipTraffic: gossip * assumed.gossipSteps.value,
    gossipChosen: gossip * assumed.gossipSteps.value * assumed.gossipBeat.value,
    tellings: 4 + 2 * Math.log2(size.nodes),
    membershipUpdate: (4 + 2 * Math.log2(size.nodes)) * at("memberTable"),
    watchersEnd: (size.controlCore * 300_000) / at("watchers"),
  };
}

/** Everything that the page works out, by name. */
export function figuresOf(slopes: SlopesByName) {
  return {
    ...rateFigures(slopes),
    ...edgeFigures(slopes),
    ...shardFigures(slopes),
    ...storeFigures(slopes),
    ...configurationFigures(slopes),
    ...membershipFigures(slopes),
  };
}

/** How many processes, of one core each, a node needs at the peak. */
export function processesANode(slopes: SlopesByName): number {
  const peak = (figuresOf(slopes).nodeTime * assumed.burst.value) / 1e6;
  return Math.ceil(peak / assumed.coreShare.value);
}

/** Ways to bring one message of the largest topic to all its edges. */
export function fanOutTrees(
  slopes: SlopesByName,
): Array<{ way: string; widths: number[]; sendMs: number; maxPerSecond: number }> {
  const { callEnd, lastHop, edgesARegion, edgesAZone } = figuresOf(slopes);
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
}

/** Kinds of failure: who comes back, how fast, and what it asks of a store group and of each node left. */
export function failureLoads(
  slopes: SlopesByName,
): Array<{ what: string; nodes: number; connections: number; rate: number; load: number }> {
  const { perNode, claimTime } = figuresOf(slopes);
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
}

/** What control costs a node once the chosen mechanisms are built; the last row is the sum. */
export function budgetOf(slopes: SlopesByName): Array<{ what: string; traffic: number; memory: number }> {
  const f = figuresOf(slopes);
  const rows = [
    { what: "membership", traffic: f.gossipChosen, memory: f.members },
    { what: "feed and lease", traffic: f.feedTraffic + assumed.leaseRide.value, memory: 0 },
    { what: "configuration as changes", traffic: f.changeTraffic, memory: f.configurationHeap },
    { what: "shard groups", traffic: f.replicaTraffic, memory: f.groupRoutes },
    { what: "follow beats", traffic: f.followChosen, memory: 0 },
  ];
  const sum = (of: "traffic" | "memory"): number => rows.reduce((total, row) => total + row[of], 0);
  return [...rows, { what: "together", traffic: sum("traffic"), memory: sum("memory") }];
}
