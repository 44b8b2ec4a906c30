import type { FeedState, Member } from "@cranetrack/core/gen/cranetrack_pb.js";
import { ConfigurationKey } from "@cranetrack/core/keys/configurationKey.js";
import type { ClusterNode } from "@cranetrack/core/runtime/clusterNode.js";
import { ApiReplies, type ApiReply } from "@cranetrack/core/http/apiReply.js";
import { nodeRole } from "@cranetrack/core/membership/nodeRole.js";

/** How long another control node may take to say what its feeds have acknowledged. */
const feedsTimeoutMs = 600;

/** How far the configuration in force has got: the acknowledgements of all control nodes' feeds, counted by node. */
export async function getRollout(node: ClusterNode): Promise<ApiReply> {
  const present = await node.store.read([ConfigurationKey.name]);
  if (present.outcome !== "done") return ApiReplies.unavailable("no majority of the control nodes answers");
  const inForce = present.kvs![0];
  if (inForce === undefined) return ApiReplies.fault(404, "no-plan", "no configuration was ever accepted");
  const version = ConfigurationKey.versionOf(inForce.value);
  const controlNodes = node.membership
    .alive(nodeRole.control)
    .filter((member) => member.isInStore)
    .map((member) => member.name);
  const replies = await Promise.all(
    controlNodes.map((name) =>
      node.rpc.call(name, { case: "storeCall", value: { call: { case: "feeds", value: {} } } }, feedsTimeoutMs),
    ),
  );
  const newest = newestByNode(replies.flatMap((body) => (body?.case === "storeReply" ? body.value.feeds : [])));
  const nodes = node.membership
    .all()
    .filter((member) => member.state === "up")
    .map((member) => rolloutOf(member, newest.get(member.name), version, node.membership.isAlive(member.name)));
  const taken = nodes.filter(({ hasTakenUp }) => hasTakenUp).length;
  return ApiReplies.done({ mark: version, taken, of: nodes.length, nodes });
}

/** A node that went on at another control node has a feed at both for a while: the one heard from last counts. */
function newestByNode(feeds: readonly FeedState[]): Map<string, FeedState> {
  const newest = new Map<string, FeedState>();
  for (const feed of feeds) {
    const known = newest.get(feed.name);
    if (known === undefined || feed.age < known.age) newest.set(feed.name, feed);
  }
  return newest;
}

/** One node's entry, in the fields of the HTTP API v1: `mark` is the version that it has in force. */
function rolloutOf(member: Member, feed: FeedState | undefined, version: number, isAlive: boolean) {
  const atNode = feed?.configurationVersion ?? 0;
  const why = whyLate(feed, version);
  return {
    name: member.name,
    role: member.role,
    mark: atNode,
    hasTakenUp: atNode >= version,
    ...(why === "" ? {} : { why }),
    isAlive,
  };
}

/** Empty where the node is not late. */
function whyLate(feed: FeedState | undefined, version: number): string {
  if (feed === undefined) return "has no feed open";
  if (feed.fault !== "") return feed.fault;
  return feed.configurationVersion >= version ? "" : "has not acknowledged yet";
}
