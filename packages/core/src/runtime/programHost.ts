import type { HttpServer } from "../http/httpServer.js";
import { ClusterNode } from "./clusterNode.js";
import type { Disk } from "../storage/disk.js";
import { HostRandom } from "./hostRandom.js";
import { HostClock } from "./hostClock.js";
import { LogBuffer } from "./logBuffer.js";
import { NodeStatus } from "./nodeStatus.js";
import { Router } from "../http/router.js";
import { ChecksummedDisk } from "../storage/sealedDisk.js";
import type { Settings, SettingsRead } from "./settings.js";
import { SettingsWatch } from "./settingsWatch.js";
import { TcpTransport } from "../transport/tcpTransport.js";

/** A server towards callers that a program opens besides the connection to its fellows. */
export interface Listener {
  listen(): Promise<void>;
  close(): Promise<void>;
}
export interface Built {
  /** Says what is wrong with what was kept, if anything is. */
  load(): string | undefined;
  start(): Promise<void> | void;
  stop(): Promise<void>;
  status(): object;
  isReady(): boolean;
  applySettings?(settings: Settings): void;
  stream?: ConstructorParameters<typeof HttpServer>[1];
  listeners?: readonly Listener[];
}
export interface ProgramParts {
  node: ClusterNode;
  disk: Disk | undefined;
  router: Router;
}
export interface WatchedSettings {
  path: string;
  read: () => SettingsRead;
}
type OpenDisk = Disk & { close(): Promise<void>; readonly fault?: string };

/** The thin part that all programs share, however they came by their settings: seams, fronts, signals. */
export class ProgramHost {
  static readonly stopMs = 4500;
  static readonly exits = { settings: 2, data: 3, fault: 4 };

  readonly #prefixes: string[];
  readonly #build: (parts: ProgramParts) => Built;

  constructor(prefixes: string[], build: (parts: ProgramParts) => Built) {
    this.#prefixes = prefixes;
    this.#build = build;
  }

  /** Starts the program with settings that were checked; `watched` is the file that they came from. */
  async start(settings: Settings, watched?: WatchedSettings): Promise<void> {
    const log = LogBuffer.toFile(settings.name, settings.log);
    const clock = new HostClock();
    const transport = new TcpTransport(settings.address, log, settings.listen);
    const quit = (code: number, text: string): never => {
      log.fault(text);
      process.stderr.write(`${text}\n`);
      process.exit(code);
    };
    let disk: OpenDisk | undefined;
    let built: Built;
    let node: ClusterNode;
    let router: Router;
    try {
      disk = await ProgramHost.#openDisk(settings, log);
      const checksummed = disk === undefined ? undefined : new ChecksummedDisk(disk);
      node = new ClusterNode(
        { settings, clock, transport, disk: checksummed, random: new HostRandom(), log, incarnation: Date.now() },
        this.#prefixes,
      );
      router = new Router(node);
      built = this.#build({ node, disk: checksummed, router });
      const fault = built.load();
      if (fault !== undefined) return quit(ProgramHost.exits.data, fault);
    } catch (cause) {
      return quit(ProgramHost.exits.data, (cause as Error).message);
    }
    process.on("uncaughtException", (fault) =>
      quit(ProgramHost.exits.fault, `a broken invariant: ${fault.stack ?? fault.message}`),
    );
    process.on("unhandledRejection", (fault) =>
      quit(ProgramHost.exits.fault, `a broken invariant: ${String((fault as Error)?.stack ?? fault)}`),
    );
    const watch = watched === undefined ? undefined : new SettingsWatch(watched.path, watched.read, settings, clock);
    watch?.on("changed", (changed) => built.applySettings?.(changed));
    watch?.on("fault", (text) => log.fault(text));
    process.on("SIGHUP", () => watch?.look());
    new NodeStatus(node, router, {
      garbled: () => transport.garbled,
      settingsFault: () => watch?.fault ?? "",
      more: () => ({ ...built.status(), dataFolder: disk?.fault ?? "" }),
      isReady: () => built.isReady(),
    });
    const listeners = [...(built.listeners ?? [])];
    try {
      if (settings.http !== undefined) listeners.push(await ProgramHost.#httpListener(settings.http, router, built));
      await transport.listen();
      for (const listener of listeners) await listener.listen();
    } catch (cause) {
      return quit(ProgramHost.exits.settings, `cannot listen: ${(cause as Error).message}`);
    }
    node.start();
    await built.start();
    log.note("started", { role: settings.role, zone: settings.zone });
    let isStopping = false;
    const stop = async (): Promise<void> => {
      if (isStopping) return;
      isStopping = true;
      setTimeout(() => process.exit(0), ProgramHost.stopMs).unref();
      await built.stop();
      node.membership.leave();
      // The goodbye is given a moment to leave; then nothing may come in any more, and only then the disk closes.
      setTimeout(() => {
        transport.close();
        void Promise.all(listeners.map((listener) => listener.close()))
          .then(() => disk?.close())
          .then(() => process.exit(0));
      }, 50);
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
