import type { Append, AppendReply, Snapshot } from "../gen/cranetrack_pb.js";
import type { RpcEndpoint } from "../rpc/rpcEndpoint.js";
import type { BodyInit } from "../rpc/wire.js";

export interface Group {
  append(append: Append, from: string): Promise<BodyInit | undefined> | undefined;
  snapshot(snapshot: Snapshot, from: string): Promise<BodyInit | undefined> | undefined;
  onReply(onReply: AppendReply, from: string): void;
}

/**
 * The names of replicated logs. Invariant: they never change, for they are in every message about a log, and its keys
 * on the disk begin with them.
 */
export const logGroupNames = {
  /** The metadata store's log. */
  store: "store",

  /** The log of a shard. */
  shard(shard: number): string {
    return `shard${String(shard).padStart(3, "0")}`;
  },
} as const;

/** Hands the messages of replicated logs to the log they are about. */
export class LogGroups {
  readonly #groups = new Map<string, Group>();

  constructor(rpc: RpcEndpoint) {
    rpc.serve("append", (append, frame) => this.#groups.get(append.group)?.append(append, frame.from));
    rpc.serve("snapshot", (snapshot, frame) => this.#groups.get(snapshot.group)?.snapshot(snapshot, frame.from));
    rpc.serve("appendReply", (onReply, frame) => {
      this.#groups.get(onReply.group)?.onReply(onReply, frame.from);
      return undefined;
    });
  }

  enlist(name: string, group: Group): void {
    this.#groups.set(name, group);
  }
}
