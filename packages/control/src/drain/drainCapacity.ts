import type { Member } from "@cranetrack/core/gen/cranetrack_pb.js";
import type { ClusterNode } from "@cranetrack/core/runtime/clusterNode.js";
import { ApiReplies, type ApiReply } from "@cranetrack/core/http/apiReply.js";
import { nodeRole } from "@cranetrack/core/membership/nodeRole.js";

/** Which machines are draining and which are in use, from a confirmed read of the store. */
export interface DrainInputs {
  /** Machines with a recorded drain request. */
  draining: ReadonlySet<string>;
  /** Machines that are in a replica set, lead a shard or vote in the store, whether they are up or not. */
  inUse: ReadonlySet<string>;
}

/**
 * Why draining the machine would violate a fault budget, by this node's view of the fleet; undefined if it would not.
 * Replies: 404 `unknown-machine`, 409 `contract-at-risk`. Performs no I/O.
 */
export function drainRefusal(node: ClusterNode, name: string, inputs: DrainInputs): ApiReply | undefined {
  const member = node.membership.find(name);
  if (!inputs.inUse.has(name) && (member === undefined || member.logDisk === ""))
    return ApiReplies.fault(404, "unknown-machine", `no machine called ${name} has a disk for topic logs`);
  const remaining = node.membership.alive().filter((other) => other.name !== name && !inputs.draining.has(other.name));
  return replicasAtRisk(node, remaining) ?? votersAtRisk(node, member, remaining) ?? zonesAtRisk(node, remaining);
}

const atRisk = (message: string): ApiReply => ApiReplies.fault(409, "contract-at-risk", message);

function replicasAtRisk({ parts }: ClusterNode, remaining: readonly Member[]): ApiReply | undefined {
  const needed = parts.settings.replicas;
  const diskMachineCount = remaining.filter((member) => member.logDisk !== "").length;
  if (diskMachineCount >= needed) return undefined;
  return atRisk(`only ${diskMachineCount} machines with a disk would be left, and each shard needs ${needed}`);
}

/** A control node may be drained only if enough control nodes remain for the number of voters in the settings. */
function votersAtRisk(
  { parts }: ClusterNode,
  leaving: Member | undefined,
  remaining: readonly Member[],
): ApiReply | undefined {
  const { voters } = parts.settings;
  const controlNodesLeft = remaining.filter((member) => member.role === nodeRole.control).length;
  if (leaving?.role !== nodeRole.control || controlNodesLeft >= voters) return undefined;
  return atRisk(`only ${controlNodesLeft} control nodes would be left, and the metadata store needs ${voters}`);
}

function zonesAtRisk({ configuration }: ClusterNode, remaining: readonly Member[]): ApiReply | undefined {
  const rules =
    configuration.configuration?.spaces.flatMap((space) =>
      space.program.map((rule) => ({ space: space.name, rule })),
    ) ?? [];
  const zoneRule = rules.find(({ rule }) => rule.contract.keep > 0 && (rule.contract.fault_budget.zones ?? 0) > 0);
  const zoneCount = new Set(remaining.filter((member) => member.logDisk !== "").map((member) => member.zone)).size;
  if (zoneRule === undefined || zoneCount >= 3) return undefined;
  return atRisk(
    `space ${zoneRule.space} must survive the loss of a zone, and machines would be left in only ${zoneCount}`,
  );
}
