import type { Member } from "@cranetrack/core/gen/cranetrack_pb.js";
import type { ClusterNode } from "@cranetrack/core/runtime/clusterNode.js";
import { ApiReplies, type ApiReply } from "@cranetrack/core/http/apiReply.js";

/** What rests on the machines, as a confirmed read of the store has it. */
export interface DrainInputs {
  /** Machines whose drain is recorded. */
  draining: ReadonlySet<string>;
  /** Machines that a replica set or the voters of the store name, whether they are up or not. */
  inUse: ReadonlySet<string>;
}

/** Why a machine can't be drained with all budgets kept; undefined where it can. */
export function drainRefusal(node: ClusterNode, name: string, inputs: DrainInputs): ApiReply | undefined {
  const member = node.membership.find(name);
  if (!inputs.inUse.has(name) && (member === undefined || member.logDisk === ""))
    return ApiReplies.fault(404, "unknown-machine", `no machine called ${name} has a disk for topic logs`);
  const left = node.membership.alive().filter((member) => member.name !== name && !inputs.draining.has(member.name));
  return replicasAtRisk(node, left) ?? votersAtRisk(node, member, left) ?? zonesAtRisk(node, left);
}

const atRisk = (message: string): ApiReply => ApiReplies.fault(409, "contract-at-risk", message);

function replicasAtRisk({ parts }: ClusterNode, left: readonly Member[]): ApiReply | undefined {
  const needed = parts.settings.replicas;
  const disks = left.filter((member) => member.logDisk !== "").length;
  if (disks >= needed) return undefined;
  return atRisk(`only ${disks} machines with a disk would be left, and each shard needs ${needed}`);
}

/** A machine that may vote leaves only where the store keeps as many voters as the settings ask for. */
function votersAtRisk(
  { parts }: ClusterNode,
  leaving: Member | undefined,
  left: readonly Member[],
): ApiReply | undefined {
  const { voters } = parts.settings;
  const controlNodesLeft = left.filter((member) => member.role === "lathe").length;
  if (leaving?.role !== "lathe" || controlNodesLeft >= voters) return undefined;
  return atRisk(`only ${controlNodesLeft} control nodes would be left, and the metadata store needs ${voters}`);
}

function zonesAtRisk({ configuration }: ClusterNode, left: readonly Member[]): ApiReply | undefined {
  const program =
    configuration.configuration?.spaces.flatMap((space) =>
      space.program.map((rule) => ({ space: space.name, rule })),
    ) ?? [];
  const zoneRule = program.find(({ rule }) => rule.contract.keep > 0 && (rule.contract.fault_budget.zones ?? 0) > 0);
  const zones = new Set(left.filter((member) => member.logDisk !== "").map((member) => member.zone)).size;
  if (zoneRule === undefined || zones >= 3) return undefined;
  return atRisk(`space ${zoneRule.space} must survive the loss of a zone, and machines would be left in only ${zones}`);
}
