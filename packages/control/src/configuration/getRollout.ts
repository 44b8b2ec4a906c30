import type { FeedState, Member } from "@cranetrack/core/gen/cranetrack_pb.js";
import { ConfigurationKey } from "@cranetrack/core/keys/configurationKey.js";
import type { ClusterNode } from "@cranetrack/core/runtime/clusterNode.js";
import { ApiReplies, type ApiReply } from "@cranetrack/core/http/apiReply.js";
import { nodeRole } from "@cranetrack/core/membership/nodeRole.js";

/** Timeout for a control node's report of its feeds. */
const feedsTimeoutMs = 600;

/**
 * The rollout of the configuration in force: for each node whether it has acknowledged it, collected from the feeds of
 * all control nodes. Replies: 404 `no-plan`, or unavailable without a majority.
 */
export async function getRollout(node: ClusterNode): Promise<ApiReply> {
  const readOutcome = await node.store.read([ConfigurationKey.name]);
  if (readOutcome.outcome !== "done") return ApiReplies.unavailable("no majority of the control nodes answers");
  const inForce = readOutcome.kvs![0];
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
  const newestFeeds = newestByNode(replies.flatMap((body) => (body?.case === "storeReply" ? body.value.feeds : [])));
  const nodes = node.membership
    .all()
    .filter((member) => member.state === "up")
    .map((member) => nodeRollout(member, newestFeeds.get(member.name), version, node.membership.isAlive(member.name)));
  const upToDateCount = nodes.filter(({ hasTakenUp }) => hasTakenUp).length;
  return ApiReplies.done({ mark: version, taken: upToDateCount, of: nodes.length, nodes });
}

/** A node that changed to another control node may have feeds at both for a while: the most recent one counts. */
function newestByNode(feeds: readonly FeedState[]): Map<string, FeedState> {
  const newest = new Map<string, FeedState>();
  for (const feed of feeds) {
    const known = newest.get(feed.name);
    if (known === undefined || feed.age < known.age) newest.set(feed.name, feed);
  }
  return newest;
}

/** One node's entry, in the fields of the HTTP API v1; `mark` is the version in force at the node. */
function nodeRollout(member: Member, feed: FeedState | undefined, version: number, isAlive: boolean) {
  const versionAtNode = feed?.configurationVersion ?? 0;
  const reason = lateReason(feed, version);
  return {
    name: member.name,
    role: member.role,
    mark: versionAtNode,
    hasTakenUp: versionAtNode >= version,
    ...(reason === "" ? {} : { why: reason }),
    isAlive,
  };
}

/** Why the node does not have the version yet; empty if it has. */
function lateReason(feed: FeedState | undefined, version: number): string {
  if (feed === undefined) return "has no feed open";
  if (feed.fault !== "") return feed.fault;
  return feed.configurationVersion >= version ? "" : "has not acknowledged yet";
}
