import { EventEmitter } from "node:events";
import type { Clock } from "../runtime/clock.js";
import type { Change } from "./feedFollower.js";
import type { ChangeJournal } from "./changeJournal.js";
import { ShardLeaderKey } from "../keys/shardLeaderKey.js";
import { ReplicasKey } from "../keys/replicasKey.js";
import type { ShardSet } from "./shardSet.js";

export interface ShardRoute {
  set: ShardSet | undefined;
  setRevision: number;
  leader: string;
  leaderId: string;
  epoch: number;
}

/** Which replicas each shard has and who holds it, as far as this node has heard. Only a cache. */
export class ShardsView extends EventEmitter<{ changed: [shard: number] }> {
  readonly #routes = new Map<number, ShardRoute>();

  constructor(journal: ChangeJournal<Change>) {
    super();
    this.setMaxListeners(0);
    journal.fold((change) => this.#fold(change));
  }

  find(shard: number): ShardRoute {
    let route = this.#routes.get(shard);
    if (route === undefined)
      this.#routes.set(shard, (route = { set: undefined, setRevision: 0, leader: "", leaderId: "", epoch: 0 }));
    return route;
  }

  all(): Array<[number, ShardRoute]> {
    return [...this.#routes].sort((a, b) => a[0] - b[0]);
  }

  /** Resolves when the shard is no longer that leader's, or the due has passed: waiting for it has no use then. */
  moved(shard: number, leader: string, clock: Clock, timeoutMs: number): Promise<undefined> {
    return new Promise((resolve) => {
      const look = (changed: number): void => {
        if (changed === shard && this.find(shard).leader !== leader) end();
      };
      const timer = clock.once(timeoutMs, () => end());
      const end = (): void => {
        timer.stop();
        this.off("changed", look);
        resolve(undefined);
      };
      this.on("changed", look);
    });
  }

  #fold(change: Change): void {
    const found = /^shards\/(\d+)\/(replicas|holder)$/.exec(change.key);
    if (found === null) return;
    const shard = Number(found[1]);
    const route = this.find(shard);
    const { value } = change;
    if (found[2] === "replicas") {
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
