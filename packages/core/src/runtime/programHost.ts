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

/** A server towards clients or operators that a program opens besides the one for other nodes. */
export interface Listener {
  listen(): Promise<void>;
  close(): Promise<void>;
}
/** What a program builds on a node: its role. */
export interface Built {
  /** Reads what the disk holds; says what is wrong with it, if anything is. */
  load(): string | undefined;
  start(): Promise<void> | void;
  /** Drains: hands over what it leads or serves, within `ProgramHost.stopMs`. */
  stop(): Promise<void>;
  /** Its part of `/v1/status`; numbers at the top level are metrics too. */
  status(): object;
  isReady(): boolean;
  /** Applies keys of a changed settings file that need no restart (`SettingsWatch.live`). */
  applySettings?(settings: Settings): void;
  stream?: ConstructorParameters<typeof HttpServer>[1];
  listeners?: readonly Listener[];
}
/** What a program is given to build its role on. */
export interface ProgramParts {
  node: ClusterNode;
  disk: Disk | undefined;
  router: Router;
}
/** The settings file, which is looked at while the program runs. */
export interface WatchedSettings {
  path: string;
  read: () => SettingsRead;
}
type OpenDisk = Disk & { close(): Promise<void>; readonly fault?: string };
interface Seams {
  readonly log: LogBuffer;
  readonly clock: Clock;
  readonly transport: TcpTransport;
}
interface Assembled {
  readonly disk: OpenDisk | undefined;
  readonly node: ClusterNode;
  readonly router: Router;
  readonly built: Built;
}
type Running = Pick<Assembled, "disk" | "node" | "built"> & {
  readonly transport: TcpTransport;
  readonly listeners: readonly Listener[];
};

/** What all programs share, however they came by their settings: clock and transport, listeners, signals. */
export class ProgramHost {
  /** Milliseconds that a program may take to stop before it ends as it is. */
  static readonly stopMs = 4500;
  /** Milliseconds between the last notice to the other nodes and the closing of connections. */
  static readonly leaveMs = 50;
  /** Exit codes: settings or addresses, the data folder, an uncaught exception. */
  static readonly exits = { settings: 2, data: 3, fault: 4 };

  readonly #prefixes: string[];
  readonly #build: (parts: ProgramParts) => Built;

  constructor(prefixes: string[], build: (parts: ProgramParts) => Built) {
    this.#prefixes = prefixes;
    this.#build = build;
  }

  /**
   * Starts the program with settings that were checked; `watched` is the file that they came from, `notices` what the
   * log is to say of them. Resolves once the program serves; a program that can't start ends the process with one of
   * `exits`.
   */
  async start(settings: Settings, watched?: WatchedSettings, notices: readonly string[] = []): Promise<void> {
    const log = LogBuffer.toFile(settings.name, settings.log);
    for (const notice of notices) log.warn(notice);
    const clock = new HostClock();
    const transport = new TcpTransport(settings.address, log, settings.listen);
    const { disk, node, router, built } = await this.#assemble(settings, { log, clock, transport });
    ProgramHost.#endOnUncaught(log);
    const watch = ProgramHost.#watchSettings(watched, settings, clock, log, built);
    const status = new NodeStatus(node, router, {
      garbled: () => transport.garbled,
      settingsFault: () => watch?.fault ?? "",
      more: () => ({ ...built.status(), dataFolder: disk?.fault ?? "" }),
      isReady: () => built.isReady(),
    });
    process.on("SIGUSR2", () => log.report("status", { status: JSON.stringify(status.status()) }));
    const listeners = [...(built.listeners ?? [])];
    try {
      if (settings.http !== undefined) listeners.push(await ProgramHost.#httpListener(settings.http, router, built));
      await transport.listen();
      for (const listener of listeners) await listener.listen();
    } catch (cause) {
      return ProgramHost.#quit(log, ProgramHost.exits.settings, `cannot listen: ${(cause as Error).message}`);
    }
    node.start();
    await built.start();
    log.note("started", { role: settings.role, zone: settings.zone });
    ProgramHost.#stopOnSignal({ node, built, transport, listeners, disk });
  }

  /** Opens the disk, makes the node and what the program builds on it, and loads what is stored. */
  async #assemble(settings: Settings, { log, clock, transport }: Seams): Promise<Assembled> {
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
      if (fault !== undefined) return ProgramHost.#quit(log, ProgramHost.exits.data, fault);
      return { disk, node, router, built };
    } catch (cause) {
      return ProgramHost.#quit(log, ProgramHost.exits.data, (cause as Error).message);
    }
  }

  static #processorMs(): number {
    const { user, system } = process.cpuUsage();
    return (user + system) / 1000;
  }

  /** Writes the log buffer out and ends the process. */
  static #quit(log: LogBuffer, code: number, text: string): never {
    log.fault(text);
    process.stderr.write(`${text}\n`);
    process.exit(code);
  }

  /** An exception that nobody caught leaves the program in a state that nobody thought of: it must not go on. */
  static #endOnUncaught(log: LogBuffer): void {
    const quit = (text: string): never =>
      ProgramHost.#quit(log, ProgramHost.exits.fault, `a broken invariant: ${text}`);
    process.on("uncaughtException", (fault) => quit(fault.stack ?? fault.message));
    process.on("unhandledRejection", (fault) => quit(String((fault as Error)?.stack ?? fault)));
  }

  /** Applies a settings file that changes, and looks at it at once on SIGHUP. */
  static #watchSettings(
    watched: WatchedSettings | undefined,
    settings: Settings,
    clock: Clock,
    log: LogBuffer,
    built: Built,
  ): SettingsWatch | undefined {
    const watch = watched === undefined ? undefined : new SettingsWatch(watched.path, watched.read, settings, clock);
    watch?.on("changed", (changed) => built.applySettings?.(changed));
    watch?.on("fault", (text) => log.fault(text));
    SettingsSignal.listen(() => watch?.look());
    return watch;
  }

  /** On SIGTERM and SIGINT: drains, says that the node leaves, closes what is open, and ends within `stopMs`. */
  static #stopOnSignal({ node, built, transport, listeners, disk }: Running): void {
    let isStopping = false;
    const stop = async (): Promise<void> => {
      if (isStopping) return;
      isStopping = true;
      setTimeout(() => process.exit(0), ProgramHost.stopMs).unref();
      await built.stop();
      node.membership.leave();
      // The closing notice gets a moment to leave; then nothing may come in any more, and only then the disk closes.
      setTimeout(() => {
        transport.close();
        void Promise.all(listeners.map((listener) => listener.close()))
          .then(() => disk?.close())
          .then(() => process.exit(0));
      }, ProgramHost.leaveMs);
    };
    process.on("SIGTERM", () => void stop());
    process.on("SIGINT", () => void stop());
  }

  static async #openDisk({ data, disk, diskMb }: Settings, log: LogBuffer): Promise<OpenDisk | undefined> {
    if (data === undefined) return undefined;
    if (disk === "journal") {
      const { JournalDisk } = await import("../storage/journalDisk.js");
      const maxBytes = diskMb === undefined ? undefined : diskMb * 1_000_000;
      return JournalDisk.open(data, { maxBytes, onFull: (text) => log.fault(text) });
    }
    const { LmdbDisk } = await import("../storage/lmdbDisk.js");
    return new LmdbDisk(data);
  }

  static async #httpListener(address: string, router: Router, built: Built): Promise<Listener> {
    const { HttpServer } = await import("../http/httpServer.js");
    const listener = new HttpServer(router, built.stream);
    return { listen: () => listener.listen(address), close: () => listener.close() };
  }
}
