import { EventEmitter } from "node:events";
import type { Clock } from "../runtime/clock.js";
import type { Change } from "./feedFollower.js";
import type { ChangeJournal } from "./changeJournal.js";
import { ShardLeaderKey } from "../keys/shardLeaderKey.js";
import { ReplicasKey } from "../keys/replicasKey.js";
import type { ShardSet } from "./shardSet.js";

/** Replica set and leader of a shard; empty strings and 0 stand for an unknown leader. */
export interface ShardRoute {
  set: ShardSet | undefined;
  setRevision: number;
  leader: string;
  leaderId: string;
  epoch: number;
}

/** The replicas and the leader of each shard, as far as this node knows. Only a cache. */
export class ShardsView extends EventEmitter<{ changed: [shard: number] }> {
  readonly #routes = new Map<number, ShardRoute>();

  constructor(journal: ChangeJournal<Change>) {
    super();
    this.setMaxListeners(0);
    journal.subscribe((change) => this.#applyChange(change));
  }

  /** The entry of a shard, which later changes update in place; an unknown shard gets an empty one. */
  find(shard: number): ShardRoute {
    let route = this.#routes.get(shard);
    if (route === undefined)
      this.#routes.set(shard, (route = { set: undefined, setRevision: 0, leader: "", leaderId: "", epoch: 0 }));
    return route;
  }

  /** The entries of all known shards, by shard number. */
  all(): Array<[number, ShardRoute]> {
    return [...this.#routes].sort((a, b) => a[0] - b[0]);
  }

  /** Resolves when `leader` no longer leads the shard, or after `timeoutMs`. */
  leaderChanged(shard: number, leader: string, clock: Clock, timeoutMs: number): Promise<undefined> {
    return new Promise((resolve) => {
      const onChanged = (changedShard: number): void => {
        if (changedShard === shard && this.find(shard).leader !== leader) finish();
      };
      const timer = clock.once(timeoutMs, () => finish());
      const finish = (): void => {
        timer.stop();
        this.off("changed", onChanged);
        resolve(undefined);
      };
      this.on("changed", onChanged);
    });
  }

  #applyChange(change: Change): void {
    const match = /^shards\/(\d+)\/(replicas|holder)$/.exec(change.key);
    if (match === null) return;
    const shard = Number(match[1]);
    const route = this.find(shard);
    const { value } = change;
    if (match[2] === "replicas") {
      route.set = value === undefined ? undefined : ReplicasKey.read(value);
      route.setRevision = value === undefined ? 0 : change.revision;
    } else {
      const leader = value === undefined ? undefined : ShardLeaderKey.read(value);
      route.leader = leader?.name ?? "";
      route.leaderId = leader?.id ?? "";
      route.epoch = leader === undefined ? 0 : change.revision;
    }
    this.emit("changed", shard);
  }
}
