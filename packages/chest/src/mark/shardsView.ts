import { EventEmitter } from "node:events";
import type { Change } from "../process/feedFollower.js";
import type { Journal } from "../process/journal.js";
import type { ShardSet } from "./shardSet.js";

export interface ShardRoute {
  set: ShardSet | undefined;
  setRevision: number;
  holder: string;
  holderId: string;
  epoch: number;
}

/** Which replicas each shard has and who holds it, as far as this node has heard. Only a cache. */
export class ShardsView extends EventEmitter<{ changed: [shard: number] }> {
  readonly #routes = new Map<number, ShardRoute>();

  constructor(journal: Journal<Change>) {
    super();
    this.setMaxListeners(0);
    journal.fold((change) => this.#fold(change));
  }

  find(shard: number): ShardRoute {
    let route = this.#routes.get(shard);
    if (route === undefined)
      this.#routes.set(shard, (route = { set: undefined, setRevision: 0, holder: "", holderId: "", epoch: 0 }));
    return route;
  }

  all(): Array<[number, ShardRoute]> {
    return [...this.#routes].sort((a, b) => a[0] - b[0]);
  }

  #fold(change: Change): void {
    const found = /^shards\/(\d+)\/(replicas|holder)$/.exec(change.key);
    if (found === null) return;
    const shard = Number(found[1]);
    const route = this.find(shard);
    const value =
      change.value === undefined ? undefined : (JSON.parse(Buffer.from(change.value).toString()) as unknown);
    if (found[2] === "replicas") {
      route.set = value as ShardSet | undefined;
      route.setRevision = change.value === undefined ? 0 : change.revision;
    } else {
      const holder = value as { name: string; id: string } | undefined;
      route.holder = holder?.name ?? "";
      route.holderId = holder?.id ?? "";
      route.epoch = holder === undefined ? 0 : change.revision;
    }
    this.emit("changed", shard);
  }
}
