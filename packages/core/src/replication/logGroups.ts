import type { Append, AppendReply, Snapshot } from "../gen/cranetrack_pb.js";
import type { RpcEndpoint } from "../rpc/rpcEndpoint.js";
import type { BodyInit } from "../rpc/wire.js";

/** The handlers of one replicated log; a handler that returns undefined sends no reply. */
export interface LogMessageHandlers {
  append(append: Append, from: string): Promise<BodyInit | undefined> | undefined;
  snapshot(snapshot: Snapshot, from: string): Promise<BodyInit | undefined> | undefined;
  onReply(reply: AppendReply, from: string): void;
}

/**
 * The names of replicated logs. Invariant: they never change, because every message about a log contains its name and
 * the log's keys on disk begin with it.
 */
export const logGroupNames = {
  /** The metadata store's log. */
  store: "store",

  /** The log of a shard, by its number. */
  shard(shard: number): string {
    return `shard${String(shard).padStart(3, "0")}`;
  },
} as const;

/** Routes RPC messages about replicated logs to the handlers of the log that they name. */
export class LogGroups {
  readonly #groups = new Map<string, LogMessageHandlers>();

  constructor(rpc: RpcEndpoint) {
    rpc.serve("append", (append, frame) => this.#groups.get(append.group)?.append(append, frame.from));
    rpc.serve("snapshot", (snapshot, frame) => this.#groups.get(snapshot.group)?.snapshot(snapshot, frame.from));
    rpc.serve("appendReply", (reply, frame) => {
      this.#groups.get(reply.group)?.onReply(reply, frame.from);
      return undefined;
    });
  }

  /** Registers the handlers of a log; messages about a log without handlers get no reply. */
  register(name: string, group: LogMessageHandlers): void {
    this.#groups.set(name, group);
  }
}
