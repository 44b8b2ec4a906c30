import { SettingsSignal } from "./settingsSignal.js";
import { roleNameOf, type NodeRole } from "../membership/nodeRole.js";
import { ProgramHost, type RoleService, type ProgramParts } from "./programHost.js";

/** The command line of all three daemons: reads flags and the settings file, then starts the host. */
export class Program {
  readonly #role: NodeRole;
  readonly #prefixes: string[];
  readonly #build: (parts: ProgramParts) => RoleService;

  constructor(role: NodeRole, prefixes: string[], build: (parts: ProgramParts) => RoleService) {
    this.#role = role;
    this.#prefixes = prefixes;
    this.#build = build;
  }

  /** Runs the daemon; sets the exit code if the settings are invalid. */
  async run(argv: string[]): Promise<void> {
    SettingsSignal.preventExit();
    const { cac } = await import("cac");
    const { SettingsReader } = await import("./settings.js");
    const cli = cac(`cranetrack-${roleNameOf(this.#role)}`);
    cli.option("--settings <file>", "Settings file (JSON); flags override it");
    for (const key of ["name", "zone", "region", "address", "listen", "http", "data", "disk", "log"])
      cli.option(`--${key} <value>`, `Setting ${key}`);
    for (const key of [
      "controlNodes",
      "shards",
      "voters",
      "replaceVoterMs",
      "edgeLeaseMs",
      "shardLeaseMs",
      "electionMs",
      "redeliveryMs",
      "maxConnections",
      "bufferBytes",
      "diskMb",
    ])
      cli.option(`--${key} <number>`, `Setting ${key}`);
    for (const key of ["seeds", "founders"])
      cli.option(`--${key} <list>`, `Setting ${key}: addresses separated by commas`);
    for (const key of ["stores", "mayFound"]) cli.option(`--${key} <boolean>`, `Setting ${key}: true or false`);
    cli.option("--check", "Only check the settings");
    cli.help();
    cli.version("0.1.0");
    const { options, args } = cli.parse(argv);
    if (options["help"] === true || options["version"] === true) return;
    const { file, flags, problems } = Program.#parseFlags(options, args);
    const notices: string[] = [];
    const onEarlierName = (notice: string): void => void notices.push(notice);
    const read =
      problems.length > 0
        ? { problems }
        : file === undefined
          ? SettingsReader.check({ role: roleNameOf(this.#role), ...flags }, onEarlierName)
          : SettingsReader.fromFile(file, flags, onEarlierName);
    if ("settings" in read && read.settings.role !== this.#role)
      return Program.#reportProblems([
        `role: this program is a ${this.#role} (role ${roleNameOf(this.#role)}), ` +
          `the settings are for a ${read.settings.role} (role ${roleNameOf(read.settings.role)})`,
      ]);
    if ("problems" in read) return Program.#reportProblems(read.problems);
    if (options["check"] === true) {
      process.stderr.write(notices.map((notice) => `${notice}\n`).join(""));
      return void process.stdout.write("settings are good\n");
    }
    const watched = file === undefined ? undefined : { path: file, read: () => SettingsReader.fromFile(file, flags) };
    await new ProgramHost(this.#prefixes, this.#build).start(read.settings, watched, notices);
  }

  static #parseFlags(
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

  static #reportProblems(problems: readonly string[]): void {
    process.stderr.write(problems.map((problem) => `${problem}\n`).join(""));
    process.exitCode = ProgramHost.exitCodes.settings;
  }
}
