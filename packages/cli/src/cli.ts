import { cac, type CAC } from "cac";
import { runbooks } from "./runbooks/runbooks.js";
import { FleetClient, type FleetReply } from "./fleetClient.js";
import { RunbookRunner } from "./runbooks/runbookRunner.js";
import { StatusText } from "./statusText.js";

interface Options {
  node?: string | string[];
  json?: boolean;
  dryRun?: boolean;
}
interface Out {
  write(text: string): unknown;
}

/** The operators' command line. Exit codes: 0 done, 1 refused, 2 misused, 3 no answer or not sure. */
export class Cli {
  static readonly exits = { done: 0, refused: 1, misused: 2, away: 3 };

  readonly #out: Out;
  readonly #err: Out;

  constructor(out: Out, err: Out) {
    this.#out = out;
    this.#err = err;
  }

  async run(argv: string[]): Promise<number> {
    const cli = this.#commands();
    try {
      cli.parse(argv, { run: false });
      if (cli.options["help"] === true || cli.options["version"] === true) return Cli.exits.done;
      if (cli.matchedCommand === undefined) {
        cli.outputHelp();
        return Cli.exits.misused;
      }
      return ((await cli.runMatchedCommand()) as number | undefined) ?? Cli.exits.done;
    } catch (fault) {
      this.#err.write(`spanner: ${(fault as Error).message}\n`);
      return Cli.exits.misused;
    }
  }

  #commands(): CAC {
    const cli = cac("spanner");
    cli.option("--node <address>", "A node's HTTP address, or several parted by commas (or CRANETRACK_NODES)");
    cli.option("--json", "Answer with JSON");
    cli.command("status", "Who is there, who holds what, what is wrong").action((options: Options) =>
      this.#call(
        options,
        (client) => client.call("GET", "/v1/status"),
        (body) => StatusText.write(body),
      ),
    );
    cli
      .command("plan <action> [file]", "put FILE, get, or rollout")
      .action((action: string, file: string | undefined, options: Options) =>
        this.#configuration(action, file, options),
      );
    cli
      .command("machine <action> <name>", "empty NAME, refill NAME, or progress NAME")
      .action((action: string, name: string, options: Options) => this.#machine(action, name, options));
    cli
      .command("runbook <action> [name]", "list, show NAME, or run NAME")
      .option("--dry-run", "Only look at what each step needs")
      .option("--machine <name>", "For runbooks about a machine")
      .option("--lathe <name>", "For runbooks about a lathe")
      .option("--zone <name>", "For runbooks about a zone")
      .option("--file <path>", "For runbooks that send a plan")
      .option("--target <name>", "For runbooks about a node: its name")
      .action((action: string, name: string | undefined, options: Options & Record<string, string>) =>
        this.#runbook(action, name, options),
      );
    cli.help();
    cli.version("0.1.0");
    return cli;
  }

  #client(options: Options): FleetClient {
    const named = options.node ?? process.env["CRANETRACK_NODES"];
    if (named === undefined) throw new Error("name a node with --node host:port, or several in CRANETRACK_NODES");
    return new FleetClient(String(named).split(","));
  }

  async #call(
    options: Options,
    ask: (client: FleetClient) => Promise<FleetReply>,
    text: (body: Record<string, unknown>, raw: string) => string,
  ): Promise<number> {
    const client = this.#client(options);
    const reply = await ask(client);
    await client.close();
    if (reply.status === 200) {
      this.#out.write(options.json === true ? `${reply.text}\n` : text(reply.body, reply.text));
      return Cli.exits.done;
    }
    return this.#refuse(reply, options);
  }

  #refuse(reply: FleetReply, options: Options): number {
    const fault = reply.body["error"] as
      { code: string; message: string; problems?: Array<{ path: string; problem: string }> } | undefined;
    if (options.json === true) this.#err.write(`${reply.text || JSON.stringify(reply.body)}\n`);
    else {
      this.#err.write(`spanner: ${fault?.message ?? reply.text} (${fault?.code ?? reply.status})\n`);
      for (const { path, problem } of fault?.problems ?? []) this.#err.write(`  ${path}: ${problem}\n`);
      if (reply.retryAfterSeconds !== undefined) this.#err.write(`  come back in ${reply.retryAfterSeconds} s\n`);
    }
    return reply.status === 0 || reply.status >= 500 ? Cli.exits.away : Cli.exits.refused;
  }

  async #configuration(action: string, file: string | undefined, options: Options): Promise<number> {
    if (action === "get")
      return this.#call(
        options,
        (client) => client.call("GET", "/v1/plan"),
        (_body, raw) => (raw.endsWith("\n") ? raw : `${raw}\n`),
      );
    if (action === "rollout")
      return this.#call(
        options,
        (client) => client.call("GET", "/v1/plan/rollout"),
        (body) => StatusText.rollout(body),
      );
    if (action !== "put") throw new Error(`plan ${action}: put FILE, get, or rollout`);
    if (file === undefined) throw new Error("plan put needs a file, or - for standard input");
    const configuration = FleetClient.readConfigurationFile(file);
    return this.#call(
      options,
      (client) => client.call("PUT", "/v1/plan", configuration),
      (body) => `mark ${String(body["mark"])} accepted\n`,
    );
  }

  async #machine(action: string, name: string, options: Options): Promise<number> {
    const method = { empty: "PUT", refill: "DELETE", progress: "GET" }[action] as "PUT" | "DELETE" | "GET" | undefined;
    if (method === undefined) throw new Error(`machine ${action}: empty NAME, refill NAME, or progress NAME`);
    return this.#call(
      options,
      (client) => client.call(method, `/v1/machines/${encodeURIComponent(name)}/emptying`),
      (body) =>
        `${name}: ${body["isAsked"] === true ? "to be emptied" : "in use"}, ` +
        `${String(body["shardsLeft"])} of ${String(body["of"])} shards have a replica there\n`,
    );
  }

  async #runbook(action: string, name: string | undefined, options: Options & Record<string, string>): Promise<number> {
    if (action === "list") {
      this.#out.write(
        options.json === true
          ? `${JSON.stringify(runbooks.map(({ name: one, about, args }) => ({ name: one, about, args })))}\n`
          : runbooks.map((one) => `${one.name.padEnd(16)} ${one.about}\n`).join(""),
      );
      return Cli.exits.done;
    }
    const runbook = runbooks.find((one) => one.name === name);
    if (runbook === undefined)
      throw new Error(`there is no runbook ${name ?? ""}: ${runbooks.map((one) => one.name).join(", ")}`);
    if (action === "show") {
      this.#out.write(
        `${runbook.name}: ${runbook.about}\n${Object.entries(runbook.args)
          .map(([arg, about]) => `  --${arg === "node" ? "target" : arg}: ${about}\n`)
          .join(
            "",
          )}${runbook.steps.map((step, i) => `${i + 1}. ${step.title} (within ${step.timeoutMs / 1000} s)\n`).join("")}`,
      );
      return Cli.exits.done;
    }
    if (action !== "run") throw new Error(`runbook ${action}: list, show NAME, or run NAME`);
    const args: Record<string, string> = {};
    for (const arg of Object.keys(runbook.args)) {
      const flag = arg === "node" ? "target" : arg;
      if (options[flag] === undefined) throw new Error(`runbook ${runbook.name} needs --${flag}`);
      args[arg] = String(options[flag]);
    }
    const client = this.#client(options);
    const say = (line: string): void => void this.#err.write(`${line}\n`);
    const report = await new RunbookRunner({
      client,
      args,
      say,
      wait: (ms) => new Promise((resolve) => setTimeout(resolve, ms)),
    }).run(runbook, options.dryRun === true);
    await client.close();
    if (options.json === true) this.#out.write(`${JSON.stringify(report)}\n`);
    return report.isDone ? Cli.exits.done : Cli.exits.refused;
  }
}
