import { ApiReplies } from "../http/apiReply.js";
import { contractRisks } from "../configuration/contractRisks.js";
import type { ClusterNode } from "./clusterNode.js";
import type { Router } from "../http/router.js";

interface StatusParts {
  garbled: () => number;
  settingsFault: () => string;
  more: () => object;
  isReady: () => boolean;
}

/** What a node says of itself: status, health, readiness, metrics. */
export class NodeStatus {
  readonly #node: ClusterNode;
  readonly #parts: StatusParts;

  constructor(node: ClusterNode, router: Router, parts: StatusParts) {
    this.#node = node;
    this.#parts = parts;
    router.on("GET", /^\/v1\/status$/, () => ApiReplies.done(this.status()));
    router.on("GET", /^\/healthz$/, () => ApiReplies.done({ health: "alive" }));
    router.on("GET", /^\/readyz$/, () =>
      parts.isReady() ? ApiReplies.done({ ready: true }) : ApiReplies.unavailable("this node does not serve yet", 1),
    );
    router.on("GET", /^\/metrics$/, () => ({ status: 200, body: this.#metrics() }));
  }

  status(): object {
    const { membership, feed, configuration, shards, parts } = this.#node;
    return {
      name: parts.settings.name,
      role: parts.settings.role,
      zone: parts.settings.zone,
      incarnation: membership.self.incarnation,
      isReady: this.#parts.isReady(),
      feed: {
        revision: feed.revision,
        ageMs: Number.isFinite(feed.age) ? Math.round(feed.age) : null,
        isFresh: feed.isFresh,
      },
      configuration: {
        version: configuration.version,
        spaces: configuration.configuration?.spaces.map((space) => space.name) ?? [],
      },
      members: membership.all().map((member) => ({
        name: member.name,
        role: member.role,
        zone: member.zone,
        http: member.http,
        state: membership.isAlive(member.name) ? "alive" : member.state === "left" ? "left" : "suspected",
        watchers: membership.watchersOf(member.name),
      })),
      shards: shards.all().map(([shard, route]) => ({
        shard,
        leader: route.leader,
        epoch: route.epoch,
        replicas: route.set?.members.map((member) => member.name) ?? [],
      })),
      load: this.#node.load.status(),
      rpc: {
        unresponsiveCount: this.#node.rpc.unresponsiveCount,
        droppedConnectionCount: this.#node.rpc.droppedConnectionCount,
        frames: this.#node.rpc.traffic.counts(),
      },
      risks: contractRisks(this.#node),
      faults: {
        settings: this.#parts.settingsFault(),
        last: parts.log.lastFault,
        garbledFrames: this.#parts.garbled(),
        droppedFrames: { ...this.#node.rpc.dropped },
        invariants: this.#node.invariants.counts(),
      },
      ...this.#parts.more(),
    };
  }

  #metrics(): string {
    const { membership, feed, configuration, shards, load, rpc } = this.#node;
    const memory = process.memoryUsage();
    const held = shards.all().filter(([, route]) => route.leader === this.#node.parts.settings.name).length;
    const figures: Record<string, number> = {
      configuration_version: configuration.version,
      feed_revision: feed.revision,
      feed_age_seconds: Number.isFinite(feed.age) ? feed.age / 1000 : -1,
      members_alive: membership.alive().length,
      shards_held: held,
      shards_free: shards.all().filter(([, route]) => route.leader === "").length,
      garbled_frames_total: this.#parts.garbled(),
      loop_lag_seconds: load.loopLagMs / 1000,
      loop_lag_worst_seconds: load.worstLoopLagMs / 1000,
      processor_share: load.processorShare,
      unresponsive_total: rpc.unresponsiveCount,
      dropped_connections_total: rpc.droppedConnectionCount,
      memory_rss_bytes: memory.rss,
      memory_heap_bytes: memory.heapUsed,
    };
    for (const [reason, count] of Object.entries(this.#node.rpc.dropped))
      figures[`dropped_frames_${NodeStatus.#snake(reason)}_total`] = count;
    for (const [name, count] of Object.entries(this.#node.invariants.counts()))
      figures[`invariant_violations_${NodeStatus.#snake(name)}_total`] = count;
    for (const [key, value] of Object.entries(this.#parts.more()))
      if (typeof value === "number") figures[NodeStatus.#snake(key)] = value;
    return Object.entries(figures)
      .map(([key, value]) => `cranetrack_${key} ${value}\n`)
      .join("");
  }
  static #snake(key: string): string {
    return key.replace(/[A-Z]/g, (letter) => `_${letter.toLowerCase()}`);
  }
}
