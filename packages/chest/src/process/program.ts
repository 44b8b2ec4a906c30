import { cac } from "cac";
import { HttpFront } from "../link/httpFront.js";
import { ClusterNode } from "./clusterNode.js";
import type { Disk } from "./disk.js";
import { HostChance } from "./hostChance.js";
import { HostClock } from "./hostClock.js";
import { LmdbDisk } from "./lmdbDisk.js";
import { LogRing } from "./logRing.js";
import { NodeStatus } from "./nodeStatus.js";
import { Router } from "./router.js";
import { SealedDisk } from "./sealedDisk.js";
import { SettingsReader, type Settings } from "./settings.js";
import { SettingsWatch } from "./settingsWatch.js";
import { TcpNet } from "./tcpNet.js";

export interface Built {
  /** Says what is wrong with what was kept, if anything is. */
  load(): string | undefined;
  start(): Promise<void> | void;
  stop(): Promise<void>;
  status(): object;
  isReady(): boolean;
  take?(settings: Settings): void;
  stream?: ConstructorParameters<typeof HttpFront>[1];
}
export interface ProgramParts {
  node: ClusterNode;
  disk: Disk | undefined;
  router: Router;
}

/** The thin part that all three daemons share: flags, settings, seams, signals. */
export class Program {
  static readonly stopMs = 4500;
  static readonly exits = { settings: 2, data: 3, fault: 4 };

  readonly #role: Settings["role"];
  readonly #prefixes: string[];
  readonly #build: (parts: ProgramParts) => Built;

  constructor(role: Settings["role"], prefixes: string[], build: (parts: ProgramParts) => Built) {
    this.#role = role;
    this.#prefixes = prefixes;
    this.#build = build;
  }

  async run(argv: string[]): Promise<void> {
    const cli = cac(this.#role);
    cli.option("--settings <file>", "Settings file (JSON); flags win over it");
    for (const key of ["name", "zone", "address", "listen", "http", "data", "log"])
      cli.option(`--${key} <value>`, `Setting ${key}`);
    for (const key of [
      "lathes",
      "shards",
      "voters",
      "replaceVoterMs",
      "edgeLeaseMs",
      "holderLeaseMs",
      "electionMs",
      "mostLinks",
      "bufferBytes",
    ])
      cli.option(`--${key} <number>`, `Setting ${key}`);
    for (const key of ["seeds", "founders"])
      cli.option(`--${key} <list>`, `Setting ${key}: addresses parted by commas`);
    for (const key of ["stores", "mayFound"]) cli.option(`--${key} <boolean>`, `Setting ${key}: true or false`);
    cli.option("--check", "Only check the settings");
    cli.help();
    cli.version("0.1.0");
    const { options, args } = cli.parse(argv);
    if (options["help"] === true || options["version"] === true) return;
    const { file, flags, problems } = Program.#flags(options, args);
    const read =
      problems.length > 0
        ? { problems }
        : file === undefined
          ? SettingsReader.check({ role: this.#role, ...flags })
          : SettingsReader.fromFile(file, flags);
    if ("settings" in read && read.settings.role !== this.#role)
      return Program.#refuse([`role: this program is a ${this.#role}, the settings are for a ${read.settings.role}`]);
    if ("problems" in read) return Program.#refuse(read.problems);
    if (options["check"] === true) return void process.stdout.write("settings are good\n");
    await this.#start(read.settings, file, flags);
  }

  async #start(settings: Settings, file: string | undefined, flags: Record<string, unknown>): Promise<void> {
    const log = LogRing.toFile(settings.name, settings.log);
    const clock = new HostClock();
    const net = new TcpNet(settings.address, log, settings.listen);
    const quit = (code: number, text: string): never => {
      log.fault(text);
      process.stderr.write(`${text}\n`);
      process.exit(code);
    };
    let disk: LmdbDisk | undefined;
    let built: Built;
    let node: ClusterNode;
    let router: Router;
    try {
      disk = settings.data === undefined ? undefined : new LmdbDisk(settings.data);
      const sealed = disk === undefined ? undefined : new SealedDisk(disk);
      node = new ClusterNode(
        { settings, clock, net, disk: sealed, chance: new HostChance(), log, incarnation: Date.now() },
        this.#prefixes,
      );
      router = new Router(node);
      built = this.#build({ node, disk: sealed, router });
      const fault = built.load();
      if (fault !== undefined) return quit(Program.exits.data, fault);
    } catch (cause) {
      return quit(Program.exits.data, (cause as Error).message);
    }
    process.on("uncaughtException", (fault) =>
      quit(Program.exits.fault, `a broken invariant: ${fault.stack ?? fault.message}`),
    );
    process.on("unhandledRejection", (fault) =>
      quit(Program.exits.fault, `a broken invariant: ${String((fault as Error)?.stack ?? fault)}`),
    );
    const watch = file === undefined ? undefined : new SettingsWatch(file, flags, settings, clock);
    watch?.on("changed", (taken) => built.take?.(taken));
    watch?.on("fault", (text) => log.fault(text));
    process.on("SIGHUP", () => watch?.look());
    new NodeStatus(node, router, {
      garbled: () => net.garbled,
      settingsFault: () => watch?.fault ?? "",
      more: () => built.status(),
      isReady: () => built.isReady(),
    });
    const front = new HttpFront(router, built.stream);
    try {
      await net.listen();
      await front.listen(settings.http);
    } catch (cause) {
      return quit(Program.exits.settings, `cannot listen: ${(cause as Error).message}`);
    }
    node.start();
    await built.start();
    log.note("started", { role: this.#role, zone: settings.zone });
    let isStopping = false;
    const stop = async (): Promise<void> => {
      if (isStopping) return;
      isStopping = true;
      setTimeout(() => process.exit(0), Program.stopMs).unref();
      await built.stop();
      node.membership.leave();
      // The goodbye is given a moment to leave; then nothing may come in any more, and only then the disk closes.
      setTimeout(() => {
        net.close();
        void front
          .close()
          .then(() => disk?.close())
          .then(() => process.exit(0));
      }, 50);
    };
    process.on("SIGTERM", () => void stop());
    process.on("SIGINT", () => void stop());
  }

  static #flags(
    options: Record<string, unknown>,
    args: readonly string[],
  ): { file: string | undefined; flags: Record<string, unknown>; problems: string[] } {
    const { settings, ...rest } = options;
    const flags: Record<string, unknown> = {};
    const problems = args.map((arg) => `${arg}: no such argument`);
    for (const [key, value] of Object.entries(rest)) {
      if (key === "--" || key === "check" || key === "help" || key === "h" || key === "v" || key === "version")
        continue;
      if (key === "seeds" || key === "founders") flags[key] = String(value).split(",");
      else if (key === "stores" || key === "mayFound")
        flags[key] = value === "true" ? true : value === "false" ? false : value;
      else flags[key] = value;
    }
    return { file: settings === undefined ? undefined : String(settings), flags, problems };
  }

  static #refuse(problems: readonly string[]): void {
    process.stderr.write(problems.map((problem) => `${problem}\n`).join(""));
    process.exitCode = Program.exits.settings;
  }
}
