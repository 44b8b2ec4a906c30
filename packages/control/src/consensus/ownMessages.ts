import type { Group } from "@cranetrack/core/replication/logGroups.js";

/**
 * The messages of a replicated log that are meant for this disk. One to another disk of this machine, an earlier one
 * say, is dropped, and so is the acknowledgement of a disk that may not count.
 */
export function ownMessages(id: string, isTrusted: (id: string) => boolean, group: Group): Group {
  return {
    append: (append, from) => (append.receiver === id ? group.append(append, from) : undefined),
    snapshot: (snapshot, from) => (snapshot.receiver === id ? group.snapshot(snapshot, from) : undefined),
    onReply: (reply, from) => {
      if (reply.receiver === id && isTrusted(reply.sender)) group.onReply(reply, from);
    },
  };
}
