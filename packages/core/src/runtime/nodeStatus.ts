import { ApiReplies } from "../http/apiReply.js";
import { contractRisks } from "../configuration/contractRisks.js";
import type { ClusterNode } from "./clusterNode.js";
import type { Router } from "../http/router.js";

/** Values of the status that the node itself does not have. */
interface StatusSources {
  garbled: () => number;
  settingsFault: () => string;
  /** Status fields of the role; numbers at the top level become metrics. */
  more: () => object;
  isReady: () => boolean;
}

/** Serves what a node reports about itself over HTTP: status, health, readiness and metrics. */
export class NodeStatus {
  readonly #node: ClusterNode;
  readonly #sources: StatusSources;

  constructor(node: ClusterNode, router: Router, parts: StatusSources) {
    this.#node = node;
    this.#sources = parts;
    router.on("GET", /^\/v1\/status$/, () => ApiReplies.done(this.status()));
    router.on("GET", /^\/healthz$/, () => ApiReplies.done({ health: "alive" }));
    router.on("GET", /^\/readyz$/, () =>
      parts.isReady() ? ApiReplies.done({ ready: true }) : ApiReplies.unavailable("this node does not serve yet", 1),
    );
    router.on("GET", /^\/metrics$/, () => ({ status: 200, body: this.#metrics() }));
  }

  /** The body of `GET /v1/status`. */
  status(): object {
    const { membership, feed, configuration, shards, parts } = this.#node;
    return {
      name: parts.settings.name,
      role: parts.settings.role,
      zone: parts.settings.zone,
      incarnation: membership.self.incarnation,
      isReady: this.#sources.isReady(),
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
        settings: this.#sources.settingsFault(),
        last: parts.log.lastFault,
        garbledFrames: this.#sources.garbled(),
        droppedFrames: { ...this.#node.rpc.dropped },
        invariants: this.#node.invariants.counts(),
      },
      ...this.#sources.more(),
    };
  }

  #metrics(): string {
    const { membership, feed, configuration, shards, load, rpc } = this.#node;
    const memory = process.memoryUsage();
    const heldCount = shards.all().filter(([, route]) => route.leader === this.#node.parts.settings.name).length;
    const metrics: Record<string, number> = {
      configuration_version: configuration.version,
      feed_revision: feed.revision,
      feed_age_seconds: Number.isFinite(feed.age) ? feed.age / 1000 : -1,
      members_alive: membership.alive().length,
      shards_held: heldCount,
      shards_free: shards.all().filter(([, route]) => route.leader === "").length,
      garbled_frames_total: this.#sources.garbled(),
      loop_lag_seconds: load.loopLagMs / 1000,
      loop_lag_worst_seconds: load.worstLoopLagMs / 1000,
      processor_share: load.processorShare,
      unresponsive_total: rpc.unresponsiveCount,
      dropped_connections_total: rpc.droppedConnectionCount,
      memory_rss_bytes: memory.rss,
      memory_heap_bytes: memory.heapUsed,
    };
    for (const [reason, count] of Object.entries(this.#node.rpc.dropped))
      metrics[`dropped_frames_${NodeStatus.#toSnakeCase(reason)}_total`] = count;
    for (const [name, count] of Object.entries(this.#node.invariants.counts()))
      metrics[`invariant_violations_${NodeStatus.#toSnakeCase(name)}_total`] = count;
    for (const [key, value] of Object.entries(this.#sources.more()))
      if (typeof value === "number") metrics[NodeStatus.#toSnakeCase(key)] = value;
    return Object.entries(metrics)
      .map(([key, value]) => `cranetrack_${key} ${value}\n`)
      .join("");
  }
  static #toSnakeCase(key: string): string {
    return key.replace(/[A-Z]/g, (letter) => `_${letter.toLowerCase()}`);
  }
}
