import type { FeedState } from "@cranetrack/core/gen/cranetrack_pb.js";
import { ConfigurationKey } from "@cranetrack/core/keys/configurationKey.js";
import type { ClusterNode } from "@cranetrack/core/runtime/clusterNode.js";
import { ApiReplies, type ApiReply } from "@cranetrack/core/http/apiReply.js";

/** How far the configuration in force has got: the acknowledgements of all control nodes' feeds, counted by node. */
export async function getRollout(node: ClusterNode): Promise<ApiReply> {
  const present = await node.store.read([ConfigurationKey.name]);
  if (present.outcome !== "done") return ApiReplies.unavailable("no majority of the lathes answers");
  const inForce = present.kvs![0];
  if (inForce === undefined) return ApiReplies.fault(404, "no-plan", "no plan was ever accepted");
  const version = ConfigurationKey.versionOf(inForce.value);
  const controlNodes = node.membership
    .alive("lathe")
    .filter((member) => member.isInStore)
    .map((member) => member.name);
  const asked = await Promise.all(
    controlNodes.map((name) =>
      node.rpc.call(name, { case: "storeCall", value: { call: { case: "feeds", value: {} } } }, 600),
    ),
  );
  const newest = new Map<string, FeedState>();
  for (const body of asked) {
    for (const feed of body?.case === "storeReply" ? body.value.feeds : []) {
      const known = newest.get(feed.name);
      if (known === undefined || feed.age < known.age) newest.set(feed.name, feed);
    }
  }
  const nodes = node.membership
    .all()
    .filter((member) => member.state === "up")
    .map((member) => {
      const feed = newest.get(member.name);
      const why =
        feed === undefined
          ? "has no feed open"
          : feed.fault !== ""
            ? feed.fault
            : feed.configurationVersion >= version
              ? ""
              : "has not acknowledged yet";
      return {
        name: member.name,
        role: member.role,
        mark: feed?.configurationVersion ?? 0,
        hasTakenUp: (feed?.configurationVersion ?? 0) >= version,
        ...(why === "" ? {} : { why }),
        isAlive: node.membership.isAlive(member.name),
      };
    });
  const taken = nodes.filter((member) => member.hasTakenUp).length;
  return ApiReplies.done({ mark: version, taken, of: nodes.length, nodes });
}
