import { MembersKey } from "@cranetrack/core/keys/membersKey.js";
import type { ClusterNode } from "@cranetrack/core/runtime/clusterNode.js";
import { nodeRole } from "@cranetrack/core/membership/nodeRole.js";

/** How long a stopping process waits until another control node has its vote; it has a few seconds in all to stop. */
const maxWaitMs = 2500;
/** Time between two reads of the members, in milliseconds. */
const pollIntervalMs = 100;
/** Timeout of one read of the members, in milliseconds. */
const readTimeoutMs = 400;

/**
 * Waits until a standby control node votes in place of this one, for at most `maxWaitMs`, before this process ends. A
 * machine that is removed for good then doesn't count as lost, and another one may be stopped right afterwards. Doesn't
 * wait if there is no standby. A process that starts again becomes a standby itself.
 */
export async function transferVote(node: ClusterNode): Promise<void> {
  const { clock } = node.parts;
  const deadline = clock.now() + maxWaitMs;
  // Listed once: a standby that is admitted meanwhile reports itself as a member before it votes.
  const standbys = node.membership
    .alive(nodeRole.control)
    .filter((member) => !member.isInStore && isStaying(node, member.name));
  while (clock.now() < deadline && standbys.some((member) => isStaying(node, member.name))) {
    const read = await node.store.read([MembersKey.name], [], readTimeoutMs);
    const membersEntry = read.kvs?.find(({ key }) => key === MembersKey.name);
    const voters = membersEntry === undefined ? undefined : MembersKey.read(membersEntry.value)?.voters;
    if (voters !== undefined && !voters.includes(node.rpc.name)) return;
    await new Promise<void>((resolve) => void clock.once(pollIntervalMs, resolve));
  }
}

function isStaying({ membership, machines }: ClusterNode, name: string): boolean {
  return membership.isAlive(name) && membership.find(name)?.isLeaving === false && !machines.isDraining(name);
}
