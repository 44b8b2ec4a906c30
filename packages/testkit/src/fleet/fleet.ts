/**
 * Real processes of one deployment on this machine, each with its own settings file, data folder and log in one folder.
 * A machine whose network a test cuts or delays is reached through a `TcpRelay`.
 */

import { spawn, type ChildProcess } from "node:child_process";
import { once } from "node:events";
import { existsSync, mkdirSync, openSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { join } from "node:path";
import { HttpPort } from "../clients/httpPort.js";
import type { PortReply } from "../clients/clientPort.js";
import { TcpRelay } from "./tcpRelay.js";
import { Deployments, type Deployment, type Machine } from "./deployments.js";
import { programOf } from "./programOf.js";
import { drawFreePorts } from "@cranetrack/platform/soak/drawPort.js";

/** One machine of a running fleet. */
interface Member {
  machine: Machine;
  /** Where other members reach it, `host:port`. */
  address: string;
  /** Its HTTP address, `host:port`. */
  http: string;
  /** Path of its settings file. */
  settings: string;
  /** Undefined while it is not running. */
  child: ChildProcess | undefined;
  relay: TcpRelay | undefined;
}

/** A fleet of real processes on loopback addresses of this machine, configured by settings files. */
export class Fleet {
  readonly deployment: Deployment;
  readonly #folder: string;
  readonly #relayedMachines: readonly string[];
  /** Further settings that all members get. */
  readonly #extraSettings: Record<string, number>;
  readonly #members = new Map<string, Member>();
  /** Sends clients' and operators' requests to members by name. */
  readonly clientPort: HttpPort;
  /** Processes that exited without being told to, or did not exit cleanly on a signal. */
  readonly unexpectedExits: string[] = [];

  /** `relayed` names the machines that others reach through a `TcpRelay`; all members get `extraSettings`. */
  constructor(
    deployment: Deployment,
    folder: string,
    relayed: readonly string[] = [],
    extraSettings: Record<string, number> = {},
  ) {
    this.#extraSettings = extraSettings;
    this.deployment = deployment;
    this.#relayedMachines = relayed;
    this.#folder = folder;
    this.clientPort = new HttpPort((node) => this.httpOf(node));
  }

  /** Names of all members. */
  get names(): string[] {
    return [...this.#members.keys()];
  }

  /** Names of the members with a role. */
  withRole(role: Machine["role"]): string[] {
    return this.names.filter((name) => this.#members.get(name)!.machine.role === role);
  }

  /** The zone of a member. */
  zoneOf(name: string): string {
    return this.#members.get(name)!.machine.zone;
  }

  /** The HTTP address of a member; an unknown name is taken as an address itself. */
  httpOf(name: string): string {
    return this.#members.get(name)?.http ?? name;
  }

  /** Whether a member's process runs. */
  isRunning(name: string): boolean {
    return this.#members.get(name)?.child !== undefined;
  }

  /** Path of a member's settings file. */
  settingsOf(name: string): string {
    return this.#members.get(name)!.settings;
  }

  /** Writes a settings file for each machine, starts all processes and waits until all are ready. */
  async start(): Promise<void> {
    const machines = Deployments.machines(this.deployment);
    const ports = await drawFreePorts(machines.length * 3);
    const addresses = ports.map((port) => `127.0.0.1:${port}`);
    const isRelayed = (name: string): boolean => this.#relayedMachines.includes(name);
    // A relayed machine listens on a separate port; the others know only the address of its relay.
    const directMachines = machines.filter((machine) => !isRelayed(machine.name));
    const seeds = (directMachines.length > 0 ? directMachines : machines)
      .map((machine) => addresses[machines.indexOf(machine)]!)
      .slice(0, 3);
    mkdirSync(this.#folder, { recursive: true });
    machines.forEach((machine, i) => {
      const settings = join(this.#folder, `${machine.name}.json`);
      const [address, http] = [addresses[i]!, addresses[machines.length + i]!];
      const content = {
        ...this.#extraSettings,
        name: machine.name,
        role: machine.role,
        zone: machine.zone,
        address,
        http,
        seeds,
        controlNodes: machines.filter((one) => one.role === "lathe").length,
        log: join(this.#folder, `${machine.name}.log`),
        ...(isRelayed(machine.name) ? { listen: addresses[2 * machines.length + i]! } : {}),
        ...machine.settings,
        ...(machine.role === "vise" ? {} : { data: this.dataOf(machine.name) }),
      };
      writeFileSync(settings, `${JSON.stringify(content, null, 2)}\n`);
      this.#members.set(machine.name, {
        machine,
        address,
        http,
        settings,
        child: undefined,
        relay: isRelayed(machine.name)
          ? new TcpRelay(Fleet.#hostAndPort(address), Fleet.#hostAndPort(addresses[2 * machines.length + i]!))
          : undefined,
      });
    });
    for (const machine of machines) this.launch(machine.name);
    await this.waitUntilReady();
  }

  /** Path of a member's data folder. */
  dataOf(name: string): string {
    return join(this.#folder, `${name}.data`);
  }

  /** Starts a member's process; does not wait until it is ready. */
  launch(name: string): void {
    const member = this.#members.get(name)!;
    const { role } = member.machine;
    const program = programOf(role);
    const errors = openSync(join(this.#folder, `${name}.err`), "a");
    const child = spawn(process.execPath, [program, "--settings", member.settings], {
      stdio: ["ignore", errors, errors],
    });
    member.child = child;
    child.on("exit", (code, signal) => {
      if (member.child !== child) return;
      member.child = undefined;
      this.unexpectedExits.push(`${name} (${signal ?? code})`);
    });
  }

  /** Sends a signal to a member's process. */
  signal(name: string, signal: NodeJS.Signals): void {
    this.#members.get(name)!.child?.kill(signal);
  }

  /** Replaces some keys in a member's settings file. */
  changeSettings(name: string, change: object): void {
    const path = this.settingsOf(name);
    const present = JSON.parse(readFileSync(path, "utf8")) as object;
    writeFileSync(path, `${JSON.stringify({ ...present, ...change }, null, 2)}\n`);
  }

  /** Ends a member's process with a signal and waits until it has exited. */
  async endProcess(name: string, signal: NodeJS.Signals): Promise<void> {
    const member = this.#members.get(name)!;
    const { child } = member;
    if (child === undefined) return;
    member.child = undefined;
    const exited = once(child, "exit") as Promise<[number | null, string | null]>;
    child.kill(signal);
    if (signal !== "SIGKILL") child.kill("SIGCONT");
    const [code, exitSignal] = await exited;
    if (exitSignal !== "SIGKILL" && code !== 0)
      this.unexpectedExits.push(`${name} (${exitSignal ?? code} on ${signal})`);
  }

  /** Ends a process as the platform does: SIGTERM, then SIGKILL after 6 s. Resolves with whether SIGTERM sufficed. */
  async terminate(name: string): Promise<boolean> {
    const { child } = this.#members.get(name)!;
    const killTimer = setTimeout(() => child?.kill("SIGKILL"), 6000);
    const startedAt = performance.now();
    await this.endProcess(name, "SIGTERM");
    clearTimeout(killTimer);
    return performance.now() - startedAt < 5900;
  }

  /** The relay through which others reach a member; only relayed members have one. */
  relayOf(name: string): TcpRelay {
    return this.#members.get(name)!.relay!;
  }

  /** Deletes a machine's data folder, as if its disk had been replaced. Its process must have ended. */
  wipe(name: string): void {
    rmSync(this.dataOf(name), { recursive: true, force: true });
  }

  /** Lines of all members' logs that have a text in them, as `member: line`. */
  logLines(text: string): string[] {
    return this.names.flatMap((name) => {
      const path = join(this.#folder, `${name}.log`);
      const lines = existsSync(path) ? readFileSync(path, "utf8").split("\n") : [];
      return lines.filter((line) => line.includes(text)).map((line) => `${name}: ${line}`);
    });
  }

  /** Kills all processes and closes all relays and connections. */
  async stop(): Promise<void> {
    await Promise.all(this.names.map((name) => this.endProcess(name, "SIGKILL")));
    for (const { relay } of this.#members.values()) await relay?.close();
    await this.clientPort.close();
  }

  /** Sends an HTTP request to a member. */
  call(name: string, method: string, path: string, body?: string): Promise<PortReply> {
    return this.clientPort.call(name, method, path, body);
  }

  /** Resolves with the milliseconds until all named members report that they are ready; throws after `timeoutMs`. */
  async waitUntilReady(names: readonly string[] = this.names, timeoutMs = 30_000): Promise<number> {
    const startedAt = performance.now();
    for (const name of names) {
      while ((await this.call(name, "GET", "/readyz")).status !== 200) {
        if (performance.now() - startedAt > timeoutMs) throw new Error(`${name} is not ready after ${timeoutMs} ms`);
        await new Promise((resolve) => setTimeout(resolve, 100));
      }
    }
    return performance.now() - startedAt;
  }

  /** Resolves once a member answers its health check; throws after `timeoutMs`. */
  async waitUntilAnswering(name: string, timeoutMs = 30_000): Promise<void> {
    const startedAt = performance.now();
    while ((await this.call(name, "GET", "/healthz")).status !== 200) {
      if (performance.now() - startedAt > timeoutMs) throw new Error(`${name} does not answer after ${timeoutMs} ms`);
      await new Promise((resolve) => setTimeout(resolve, 20));
    }
  }

  /** The leader of each shard as reported by one edge; an empty string for a shard without a leader. */
  async shardLeaders(): Promise<string[]> {
    const edge = this.withRole("vise").find((name) => this.isRunning(name))!;
    const { body } = await this.call(edge, "GET", "/v1/status");
    return ((body["shards"] ?? []) as Array<{ leader: string }>).map((shard) => shard.leader);
  }

  /** Resolves once every shard has a leader, as reported by one edge; throws after `timeoutMs`. */
  async waitForShardLeaders(timeoutMs = 30_000): Promise<void> {
    const startedAt = performance.now();
    for (;;) {
      const leaders = await this.shardLeaders();
      if (leaders.length > 0 && leaders.every((leader) => leader !== "")) return;
      if (performance.now() - startedAt > timeoutMs) throw new Error("not every shard has a leader");
      await new Promise((resolve) => setTimeout(resolve, 100));
    }
  }

  /** Number of leases that all edges and storage machines have lost since they started. */
  async leasesLost(): Promise<number> {
    const asked = await Promise.all(
      [...this.withRole("anvil"), ...this.withRole("vise")].map((name) => this.call(name, "GET", "/v1/status")),
    );
    return asked.reduce((sum, reply) => sum + Number(reply.body["leasesLost"] ?? 0), 0);
  }

  /** Resident memory in MB of the largest process of each role. */
  async largestMemoryMb(): Promise<Record<string, number>> {
    const largest: Record<string, number> = {};
    for (const { machine } of this.#members.values()) {
      const { body } = await this.call(machine.name, "GET", "/metrics");
      const bytes = Number(/memory_rss_bytes (\d+)/.exec(String(body["raw"]))?.[1] ?? 0);
      largest[machine.role] = Math.max(largest[machine.role] ?? 0, Math.round(bytes / 1048576));
    }
    return largest;
  }

  static #hostAndPort(address: string): { host: string; port: number } {
    const [host, port] = address.split(":") as [string, string];
    return { host, port: Number(port) };
  }
}
