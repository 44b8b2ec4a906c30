import { cac, type CAC } from "cac";
import { actionFor, type Command, type Output } from "./commands/command.js";
import { configurationCommand } from "./commands/configurationCommand.js";
import { drainCommand } from "./commands/drainCommand.js";
import { runbookCommand } from "./commands/runbookCommand.js";
import { statusCommand } from "./commands/statusCommand.js";
import { exitCodes, type ExitCode } from "./exitCodes.js";
import { unknownName } from "./nearestName.js";

const program = "cranetrackctl";

/** The commands, in the order in which help lists them. */
export const commands: readonly Command[] = [statusCommand, configurationCommand, drainCommand, runbookCommand];

/** The operators' command line: parses what was typed, runs one command, and ends with one of `exitCodes`. */
export class Cli {
  readonly #out: Output;
  readonly #err: Output;

  constructor(out: Output, err: Output) {
    this.#out = out;
    this.#err = err;
  }

  /** `argv` is as `process.argv`: the program's arguments begin at the third. Never throws. */
  async run(argv: string[]): Promise<ExitCode> {
    const cli = this.#parser();
    try {
      cli.parse(argv, { run: false });
      if (cli.options["help"] === true || cli.options["version"] === true) return exitCodes.done;
      if (cli.matchedCommand === undefined) {
        const [name] = cli.args;
        if (name !== undefined)
          throw unknownName(
            "command",
            name,
            commands.map((command) => command.name),
          );
        cli.outputHelp();
        return exitCodes.misused;
      }
      return await (cli.runMatchedCommand() as Promise<ExitCode>);
    } catch (error) {
      this.#err.write(`${program}: ${(error as Error).message}\n`);
      return exitCodes.misused;
    }
  }

  #parser(): CAC {
    const cli = cac(program);
    cli.option("--node <address>", "A node's HTTP address, or several parted by commas (or CRANETRACK_NODES)");
    cli.option("--json", "Print the reply as JSON");
    for (const command of commands) this.#register(cli, command);
    cli.example(`${program} status --node 10.0.0.11:7100`);
    cli.help();
    cli.version("0.1.0");
    return cli;
  }

  #register(cli: CAC, command: Command): void {
    const { name, actions, argument, about, examples, options = [], earlier } = command;
    const usage = [
      name,
      ...(actions.length > 0 ? ["<action>"] : []),
      ...(argument === undefined ? [] : [`[${argument}]`]),
    ];
    const registered = cli.command(usage.join(" "), about);
    if (earlier !== undefined) registered.alias(earlier.name);
    for (const [flag, meaning] of options) registered.option(flag, meaning);
    for (const example of examples) registered.example(`${program} ${example}`);
    const run = (action: string, given: string | undefined, values: Record<string, unknown>): Promise<ExitCode> =>
      command.run({ out: this.#out, err: this.#err, action, argument: given, options: values });
    // The parser hands over what stands in the usage, one parameter each, and then the options.
    registered.action((...values: unknown[]): Promise<ExitCode> => {
      const parsed = values.at(-1) as Record<string, unknown>;
      if (actions.length === 0) return run("", undefined, parsed);
      const typed = values[0] as string;
      const action = actionFor(command, cli.matchedCommandName ?? name, typed);
      if (cli.matchedCommandName === earlier?.name)
        this.#err.write(
          `${program}: "${earlier!.name} ${typed}" is the earlier name of "${name} ${action}"; it is still accepted\n`,
        );
      return run(action, values[1] as string | undefined, parsed);
    });
  }
}
