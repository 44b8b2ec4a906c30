import { cac, type CAC } from "cac";
import { actionFor, type Command, type Output } from "./commands/command.js";
import { configurationCommand } from "./commands/configurationCommand.js";
import { drainCommand } from "./commands/drainCommand.js";
import { runbookCommand } from "./commands/runbookCommand.js";
import { statusCommand } from "./commands/statusCommand.js";
import { exitCodes, type ExitCode } from "./exitCodes.js";
import { unknownNameError } from "./nearestName.js";

const program = "cranetrackctl";

/** All commands, in the order in which help lists them. */
export const commands: readonly Command[] = [statusCommand, configurationCommand, drainCommand, runbookCommand];

/** The operators' command line: parses the arguments, runs one command, and returns one of `exitCodes`. */
export class Cli {
  readonly #out: Output;
  readonly #err: Output;

  constructor(out: Output, err: Output) {
    this.#out = out;
    this.#err = err;
  }

  /** Runs one command line. `argv` has the form of `process.argv`: the arguments begin at index 2. Never throws. */
  async run(argv: string[]): Promise<ExitCode> {
    const cli = this.#parser();
    try {
      cli.parse(argv, { run: false });
      if (cli.options["help"] === true || cli.options["version"] === true) return exitCodes.done;
      if (cli.matchedCommand === undefined) {
        const [name] = cli.args;
        if (name !== undefined)
          throw unknownNameError(
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
    cli.option("--node <address>", "A node's HTTP address, or several separated by commas (or CRANETRACK_NODES)");
    cli.option("--json", "Print the reply as JSON");
    for (const command of commands) this.#register(cli, command);
    cli.example(`${program} status --node 10.0.0.11:7100`);
    cli.help();
    cli.version("0.1.0");
    return cli;
  }

  #register(cli: CAC, command: Command): void {
    const { name, actions, argument, about, examples, options = [], legacy } = command;
    const usage = [
      name,
      ...(actions.length > 0 ? ["<action>"] : []),
      ...(argument === undefined ? [] : [`[${argument}]`]),
    ];
    const registered = cli.command(usage.join(" "), about);
    if (legacy !== undefined) registered.alias(legacy.name);
    for (const [flag, meaning] of options) registered.option(flag, meaning);
    for (const example of examples) registered.example(`${program} ${example}`);
    const run = (
      action: string,
      argumentValue: string | undefined,
      values: Record<string, unknown>,
    ): Promise<ExitCode> =>
      command.run({ out: this.#out, err: this.#err, action, argument: argumentValue, options: values });
    // The parser passes one parameter for each placeholder of the usage line, and then the options.
    registered.action((...values: unknown[]): Promise<ExitCode> => {
      const parsedOptions = values.at(-1) as Record<string, unknown>;
      if (actions.length === 0) return run("", undefined, parsedOptions);
      const typed = values[0] as string;
      const action = actionFor(command, cli.matchedCommandName ?? name, typed);
      if (cli.matchedCommandName === legacy?.name)
        this.#err.write(
          `${program}: "${legacy!.name} ${typed}" is the earlier name of "${name} ${action}"; it is still accepted\n`,
        );
      return run(action, values[1] as string | undefined, parsedOptions);
    });
  }
}
