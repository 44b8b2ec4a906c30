import { MembersKey } from "@cranetrack/core/keys/membersKey.js";
import type { ClusterNode } from "@cranetrack/core/runtime/clusterNode.js";

/** How long a process that stops waits for another to vote in its place; the process has a few seconds in all. */
const maxMs = 2500;
const pauseMs = 100;
const readMs = 400;

/**
 * Lets a control node that stands by vote in place of this one before its process ends: a machine that goes for good
 * is then no loss, and the next one may come at once. Where nobody stands by it does not wait. One that is started
 * again stands by in its turn.
 */
export async function transferVote(node: ClusterNode): Promise<void> {
  const { clock } = node.parts;
  const end = clock.now() + maxMs;
  // One that is taken in says so before it votes.
  const standbys = node.membership.alive("lathe").filter((member) => !member.isInStore && isStaying(node, member.name));
  while (clock.now() < end && standbys.some((member) => isStaying(node, member.name))) {
    const read = await node.store.read([MembersKey.name], [], readMs);
    const kv = read.kvs?.find((member) => member.key === MembersKey.name);
    const voters = kv === undefined ? undefined : MembersKey.read(kv.value)?.voters;
    if (voters !== undefined && !voters.includes(node.rpc.name)) return;
    await new Promise<void>((resolve) => void clock.once(pauseMs, resolve));
  }
}

function isStaying({ membership, machines }: ClusterNode, name: string): boolean {
  return membership.isAlive(name) && membership.find(name)?.isLeaving === false && !machines.isDraining(name);
}
