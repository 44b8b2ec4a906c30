// Loaded before the world runs: what a node loads late would take real time there.
import "@cranetrack/core/configuration/configurationSchema.js";
import { StorageNode } from "@cranetrack/log-storage/storageNode.js";
import { ClusterNode } from "@cranetrack/core/runtime/clusterNode.js";
import { LogBuffer } from "@cranetrack/core/runtime/logBuffer.js";
import { NodeStatus } from "@cranetrack/core/runtime/nodeStatus.js";
import { Router } from "@cranetrack/core/http/router.js";
import { ChecksummedDisk } from "@cranetrack/core/storage/checksummedDisk.js";
import type { Settings } from "@cranetrack/core/runtime/settings.js";
import { ControlNode } from "@cranetrack/control/controlNode.js";
import { EdgeNode } from "@cranetrack/edge/edgeNode.js";
import { EdgeCalls } from "@cranetrack/edge/connections/edgeCalls.js";
import { SimClock, type SimBody } from "./simClock.js";
import { SimProcessor } from "./simProcessor.js";
import type { SimDisk } from "./simDisk.js";
import type { SimWires } from "./simTransport.js";
import type { SimWorld } from "./simWorld.js";

/** What a process runs on. */
interface SimMachine {
  /** How fast its clock runs. */
  readonly rate: number;
  /** Of a core; undefined where its work takes no time. */
  readonly processorShare: number | undefined;
}

/** One process's life in the simulator: the production classes over simulated seams. */
export class SimNode {
  readonly body: SimBody;
  readonly clock: SimClock;
  readonly node: ClusterNode;
  readonly router: Router;
  readonly log: LogBuffer;
  readonly control: ControlNode | undefined;
  readonly storage: StorageNode | undefined;
  readonly edge: EdgeNode | undefined;
  readonly edgeCalls: EdgeCalls | undefined;
  readonly #closings = new Set<() => void>();
  /** Why it would not start, as a process would exit. */
  readonly fault: string | undefined;

  constructor(
    world: SimWorld,
    wires: SimWires,
    disk: SimDisk,
    settings: Settings,
    incarnation: number,
    machine: SimMachine,
  ) {
    const { rate, processorShare } = machine;
    const processor = processorShare === undefined ? undefined : new SimProcessor(world, processorShare);
    this.body = { isDead: false, pausedUntil: 0, rate, processor };
    this.clock = new SimClock(world, this.body);
    this.log = new LogBuffer(settings.name, () => undefined);
    const random = world.random.fork();
    const mounted = settings.role === "vise" ? undefined : new ChecksummedDisk(disk.mount(this.body));
    const transport = wires.attach(settings.address, this.body);
    const prefixes = settings.role === "vise" ? ["plan", "shards/"] : ["plan", "shards/", "machines/"];
    this.node = new ClusterNode(
      { settings, clock: this.clock, transport, disk: mounted, random, log: this.log, incarnation },
      prefixes,
    );
    this.router = new Router(this.node);
    try {
      if (settings.role === "lathe") this.control = new ControlNode(this.node, mounted!, this.router);
      else if (settings.role === "anvil") this.storage = new StorageNode(this.node, mounted!, false);
      else this.edge = new EdgeNode(this.node, this.router);
      if (this.edge !== undefined) this.edgeCalls = new EdgeCalls(this.edge, this.router);
      this.fault = this.control?.load() ?? this.storage?.load();
    } catch (cause) {
      this.fault = (cause as Error).message;
    }
    if (this.fault !== undefined) return;
    new NodeStatus(this.node, this.router, {
      garbled: () => 0,
      settingsFault: () => "",
      more: () => (this.control ?? this.storage ?? this.edge)!.status(),
      isReady: () => this.control?.isReady ?? this.edge?.isReady ?? this.node.feed.isFresh,
    });
    this.node.start();
    void this.control?.start();
    void this.storage?.start();
    this.edge?.start();
  }

  /** Called when the process falls, as its connections are then reset. */
  onFall(close: () => void): () => void {
    this.#closings.add(close);
    return () => this.#closings.delete(close);
  }

  fall(): void {
    this.body.isDead = true;
    for (const close of this.#closings) close();
  }

  async stop(): Promise<void> {
    await this.edge?.drain();
    await this.storage?.stop();
    await this.control?.stop();
    this.node.membership.leave();
  }
}
