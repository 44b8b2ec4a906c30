import type { HttpServer } from "../http/httpServer.js";
import { ClusterNode } from "./clusterNode.js";
import type { Clock } from "./clock.js";
import type { Disk } from "../storage/disk.js";
import { HostRandom } from "./hostRandom.js";
import { HostClock } from "./hostClock.js";
import { LogBuffer } from "./logBuffer.js";
import { NodeStatus } from "./nodeStatus.js";
import { Router } from "../http/router.js";
import { ChecksummedDisk } from "../storage/checksummedDisk.js";
import type { Settings, SettingsRead } from "./settings.js";
import { SettingsSignal } from "./settingsSignal.js";
import { SettingsWatch } from "./settingsWatch.js";
import { TcpTransport } from "../transport/tcpTransport.js";

/** A server for clients or operators, besides the transport for other nodes. */
export interface Listener {
  listen(): Promise<void>;
  close(): Promise<void>;
}
/** The role that a program runs on a node. */
export interface RoleService {
  /** Loads the stored data; returns a text that says what is wrong with it, or undefined. */
  load(): string | undefined;
  start(): Promise<void> | void;
  /** Drains the node: hands over the shards and sessions that it leads or serves, within `ProgramHost.stopMs`. */
  stop(): Promise<void>;
  /** Status fields of the role in `/v1/status`; numbers at the top level become metrics. */
  status(): object;
  isReady(): boolean;
  /** Applies the keys of a changed settings file that need no restart (`SettingsWatch.reloadableKeys`). */
  applySettings?(settings: Settings): void;
  stream?: ConstructorParameters<typeof HttpServer>[1];
  listeners?: readonly Listener[];
}
/** What a program builds its role from. */
export interface ProgramParts {
  node: ClusterNode;
  disk: Disk | undefined;
  router: Router;
}
/** A settings file that is checked for changes while the program runs. */
export interface WatchedSettings {
  path: string;
  read: () => SettingsRead;
}
type OpenDisk = Disk & { close(): Promise<void>; readonly fault?: string };
interface HostParts {
  readonly log: LogBuffer;
  readonly clock: Clock;
  readonly transport: TcpTransport;
}
interface AssembledNode {
  readonly disk: OpenDisk | undefined;
  readonly node: ClusterNode;
  readonly router: Router;
  readonly built: RoleService;
}
type RunningNode = Pick<AssembledNode, "disk" | "node" | "built"> & {
  readonly transport: TcpTransport;
  readonly listeners: readonly Listener[];
};

/** Runs a role as a process, wherever its settings came from: disk, clock, transport, listeners and signals. */
export class ProgramHost {
  /** Milliseconds that a program may take to stop before the process exits regardless. */
  static readonly stopMs = 4500;
  /** Milliseconds between announcing to other nodes that this node leaves and closing its connections. */
  static readonly leaveNoticeMs = 50;
  /** Exit codes for invalid settings or addresses, for the data folder, and for an uncaught exception. */
  static readonly exitCodes = { settings: 2, data: 3, fault: 4 };

  readonly #prefixes: string[];
  readonly #build: (parts: ProgramParts) => RoleService;

  constructor(prefixes: string[], build: (parts: ProgramParts) => RoleService) {
    this.#prefixes = prefixes;
    this.#build = build;
  }

  /**
   * Starts the program with validated settings. `watched` is the file that they came from; `notices` are warnings to
   * log about them. Resolves once the program is running; if it can't start, the process exits with one of `exitCodes`.
   */
  async start(settings: Settings, watched?: WatchedSettings, notices: readonly string[] = []): Promise<void> {
    const log = LogBuffer.toFile(settings.name, settings.log);
    for (const notice of notices) log.warn(notice);
    const clock = new HostClock();
    const transport = new TcpTransport(settings.address, log, settings.listen);
    const { disk, node, router, built } = await this.#assemble(settings, { log, clock, transport });
    ProgramHost.#exitOnUncaught(log);
    const watch = ProgramHost.#watchSettings(watched, settings, clock, log, built);
    const status = new NodeStatus(node, router, {
      garbled: () => transport.garbled,
      settingsFault: () => watch?.fault ?? "",
      more: () => ({ ...built.status(), ...ProgramHost.#diskStatus(disk) }),
      isReady: () => built.isReady(),
    });
    process.on("SIGUSR2", () => log.report("status", { status: JSON.stringify(status.status()) }));
    const listeners = [...(built.listeners ?? [])];
    try {
      if (settings.http !== undefined) listeners.push(await ProgramHost.#httpListener(settings.http, router, built));
      await transport.listen();
      for (const listener of listeners) await listener.listen();
    } catch (cause) {
      return ProgramHost.#exit(log, ProgramHost.exitCodes.settings, `cannot listen: ${(cause as Error).message}`);
    }
    node.start();
    await built.start();
    log.note("started", { role: settings.role, zone: settings.zone });
    ProgramHost.#stopOnSignal({ node, built, transport, listeners, disk });
  }

  /** Opens the disk, creates the node and its role, and loads the stored data. */
  async #assemble(settings: Settings, { log, clock, transport }: HostParts): Promise<AssembledNode> {
    try {
      const disk = await ProgramHost.#openDisk(settings, log);
      const checksummed = disk === undefined ? undefined : new ChecksummedDisk(disk);
      const node = new ClusterNode(
        {
          settings,
          clock,
          transport,
          disk: checksummed,
          random: new HostRandom(),
          log,
          incarnation: Date.now(),
          processorMs: () => ProgramHost.#processorMs(),
        },
        this.#prefixes,
      );
      const router = new Router(node);
      const built = this.#build({ node, disk: checksummed, router });
      const fault = built.load();
      if (fault !== undefined) return ProgramHost.#exit(log, ProgramHost.exitCodes.data, fault);
      return { disk, node, router, built };
    } catch (cause) {
      return ProgramHost.#exit(log, ProgramHost.exitCodes.data, (cause as Error).message);
    }
  }

  static #processorMs(): number {
    const { user, system } = process.cpuUsage();
    return (user + system) / 1000;
  }

  /** Writes the log buffer out and ends the process. */
  static #exit(log: LogBuffer, code: number, text: string): never {
    log.fault(text);
    process.stderr.write(`${text}\n`);
    process.exit(code);
  }

  /** An uncaught exception leaves the program in an unknown state: the process must not continue. */
  static #exitOnUncaught(log: LogBuffer): void {
    const quit = (text: string): never =>
      ProgramHost.#exit(log, ProgramHost.exitCodes.fault, `a broken invariant: ${text}`);
    process.on("uncaughtException", (fault) => quit(fault.stack ?? fault.message));
    process.on("unhandledRejection", (fault) => quit(String((fault as Error)?.stack ?? fault)));
  }

  /** Applies changes of the settings file, and checks the file at once on SIGHUP. */
  static #watchSettings(
    watched: WatchedSettings | undefined,
    settings: Settings,
    clock: Clock,
    log: LogBuffer,
    built: RoleService,
  ): SettingsWatch | undefined {
    const watch = watched === undefined ? undefined : new SettingsWatch(watched.path, watched.read, settings, clock);
    watch?.on("changed", (changed) => built.applySettings?.(changed));
    watch?.on("fault", (text) => log.fault(text));
    SettingsSignal.listen(() => watch?.check());
    return watch;
  }

  /** On SIGTERM and SIGINT: drains, announces that the node leaves, closes everything, and exits within `stopMs`. */
  static #stopOnSignal({ node, built, transport, listeners, disk }: RunningNode): void {
    let isStopping = false;
    const stop = async (): Promise<void> => {
      if (isStopping) return;
      isStopping = true;
      setTimeout(() => process.exit(0), ProgramHost.stopMs).unref();
      await built.stop();
      node.membership.leave();
      // Leaves time to send the announcement. The disk closes last, when nothing can arrive any more.
      setTimeout(() => {
        transport.close();
        void Promise.all(listeners.map((listener) => listener.close()))
          .then(() => disk?.close())
          .then(() => process.exit(0));
      }, ProgramHost.leaveNoticeMs);
    };
    process.on("SIGTERM", () => void stop());
    process.on("SIGINT", () => void stop());
  }

  /** Status fields of the data folder: why writes wait, and its fill level in percent. */
  static #diskStatus(disk: OpenDisk | undefined): object {
    return { dataFolder: disk?.fault ?? "", diskFillPercent: Math.round(100 * (disk?.fillShare?.(0) ?? 0)) };
  }

  static async #openDisk({ data, disk, diskMb }: Settings, log: LogBuffer): Promise<OpenDisk | undefined> {
    if (data === undefined) return undefined;
    const maxBytes = diskMb === undefined ? undefined : diskMb * 1_000_000;
    const options = { maxBytes, onFull: (text: string): void => log.fault(text) };
    if (disk === "journal") {
      const { JournalDisk } = await import("../storage/journalDisk.js");
      return JournalDisk.open(data, options);
    }
    const { LmdbDisk } = await import("../storage/lmdbDisk.js");
    return new LmdbDisk(data, options);
  }

  static async #httpListener(address: string, router: Router, built: RoleService): Promise<Listener> {
    const { HttpServer } = await import("../http/httpServer.js");
    const listener = new HttpServer(router, built.stream);
    return { listen: () => listener.listen(address), close: () => listener.close() };
  }
}
