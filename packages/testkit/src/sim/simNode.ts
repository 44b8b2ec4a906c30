// Imported before the simulation runs: a lazy import by a node would take real time during it.
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
import { SimClock, type SimProcessState } from "./simClock.js";
import { SimProcessor } from "./simProcessor.js";
import type { SimDisk } from "./simDisk.js";
import type { SimWires } from "./simTransport.js";
import type { SimWorld } from "./simWorld.js";

/** How fast the machine of a process is. */
interface SimMachineSpeed {
  /** Clock rate relative to virtual time. */
  readonly rate: number;
  /** Share of a processor core; undefined if work takes no virtual time. */
  readonly processorShare: number | undefined;
}

/** One process incarnation in the simulator: the production classes over a simulated clock, transport and disk. */
export class SimNode {
  readonly processState: SimProcessState;
  readonly clock: SimClock;
  readonly node: ClusterNode;
  readonly router: Router;
  readonly log: LogBuffer;
  readonly control: ControlNode | undefined;
  readonly storage: StorageNode | undefined;
  readonly edge: EdgeNode | undefined;
  readonly edgeCalls: EdgeCalls | undefined;
  readonly #endListeners = new Set<() => void>();
  /** Why the node did not start (a real process would exit); undefined if it runs. */
  readonly startFailure: string | undefined;

  constructor(
    world: SimWorld,
    wires: SimWires,
    disk: SimDisk,
    settings: Settings,
    incarnation: number,
    machine: SimMachineSpeed,
  ) {
    const { rate, processorShare } = machine;
    const processor = processorShare === undefined ? undefined : new SimProcessor(world, processorShare);
    this.processState = { isDead: false, pausedUntil: 0, rate, processor };
    this.clock = new SimClock(world, this.processState);
    this.log = new LogBuffer(settings.name, () => undefined);
    const random = world.random.fork();
    const mounted = settings.role === "vise" ? undefined : new ChecksummedDisk(disk.mount(this.processState));
    const transport = wires.attach(settings.address, this.processState);
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
      this.startFailure = this.control?.load() ?? this.storage?.load();
    } catch (cause) {
      this.startFailure = (cause as Error).message;
    }
    if (this.startFailure !== undefined) return;
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

  /** Registers a callback for the end of the process, when its connections are reset; returns its removal. */
  onEnd(close: () => void): () => void {
    this.#endListeners.add(close);
    return () => this.#endListeners.delete(close);
  }

  end(): void {
    this.processState.isDead = true;
    for (const close of this.#endListeners) close();
  }

  async stop(): Promise<void> {
    await this.edge?.drain();
    await this.storage?.stop();
    await this.control?.stop();
    this.node.membership.leave();
  }
}
