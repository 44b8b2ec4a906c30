/**
 * Real processes of one deployment on this machine, each with settings, data and log of its own in one folder. Where
 * a test wants cuts or delays, a machine is reached through a `TcpRelay`.
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

interface Member {
  machine: Machine;
  address: string;
  http: string;
  settings: string;
  child: ChildProcess | undefined;
  relay: TcpRelay | undefined;
}

/** A whole fleet of real processes on this machine, on loopback addresses, from settings files. */
export class Fleet {
  readonly deployment: Deployment;
  readonly #folder: string;
  readonly #relayed: readonly string[];
  /** Settings that all members get besides. */
  readonly #more: Record<string, number>;
  readonly #members = new Map<string, Member>();
  readonly port: HttpPort;
  /** Processes that ended without being told to. */
  readonly fallen: string[] = [];

  /** `relayed` machines are reached through wires that can be cut. */
  constructor(
    deployment: Deployment,
    folder: string,
    relayed: readonly string[] = [],
    more: Record<string, number> = {},
  ) {
    this.#more = more;
    this.deployment = deployment;
    this.#relayed = relayed;
    this.#folder = folder;
    this.port = new HttpPort((node) => this.httpOf(node));
  }

  get names(): string[] {
    return [...this.#members.keys()];
  }

  withRole(role: Machine["role"]): string[] {
    return this.names.filter((name) => this.#members.get(name)!.machine.role === role);
  }

  zoneOf(name: string): string {
    return this.#members.get(name)!.machine.zone;
  }

  httpOf(name: string): string {
    return this.#members.get(name)?.http ?? name;
  }

  isRunning(name: string): boolean {
    return this.#members.get(name)?.child !== undefined;
  }

  settingsOf(name: string): string {
    return this.#members.get(name)!.settings;
  }

  /** Writes a settings file for each machine, starts all processes and waits until all are ready. */
  async start(): Promise<void> {
    const machines = Deployments.machines(this.deployment);
    const ports = await drawFreePorts(machines.length * 3);
    const addresses = ports.map((port) => `127.0.0.1:${port}`);
    const relayed = (name: string): boolean => this.#relayed.includes(name);
    // A relayed machine listens on a port of its own and is known to others by its relay's.
    const open = machines.filter((machine) => !relayed(machine.name));
    const seeds = (open.length > 0 ? open : machines)
      .map((machine) => addresses[machines.indexOf(machine)]!)
      .slice(0, 3);
    mkdirSync(this.#folder, { recursive: true });
    machines.forEach((machine, i) => {
      const settings = join(this.#folder, `${machine.name}.json`);
      const [address, http] = [addresses[i]!, addresses[machines.length + i]!];
      const content = {
        ...this.#more,
        name: machine.name,
        role: machine.role,
        zone: machine.zone,
        address,
        http,
        seeds,
        controlNodes: machines.filter((one) => one.role === "lathe").length,
        log: join(this.#folder, `${machine.name}.log`),
        ...(relayed(machine.name) ? { listen: addresses[2 * machines.length + i]! } : {}),
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
        relay: relayed(machine.name)
          ? new TcpRelay(Fleet.#place(address), Fleet.#place(addresses[2 * machines.length + i]!))
          : undefined,
      });
    });
    for (const machine of machines) this.launch(machine.name);
    await this.ready();
  }

  dataOf(name: string): string {
    return join(this.#folder, `${name}.data`);
  }

  /** Starts a machine's process again; does not wait until it is ready. */
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
      this.fallen.push(`${name} (${signal ?? code})`);
    });
  }

  signal(name: string, signal: NodeJS.Signals): void {
    this.#members.get(name)!.child?.kill(signal);
  }

  /** Writes some keys of a member's settings file anew. */
  changeSettings(name: string, change: object): void {
    const path = this.settingsOf(name);
    const present = JSON.parse(readFileSync(path, "utf8")) as object;
    writeFileSync(path, `${JSON.stringify({ ...present, ...change }, null, 2)}\n`);
  }

  /** Ends a process and waits until it is gone. */
  async end(name: string, signal: NodeJS.Signals): Promise<void> {
    const member = this.#members.get(name)!;
    const { child } = member;
    if (child === undefined) return;
    member.child = undefined;
    const gone = once(child, "exit") as Promise<[number | null, string | null]>;
    child.kill(signal);
    if (signal !== "SIGKILL") child.kill("SIGCONT");
    const [code, by] = await gone;
    if (by !== "SIGKILL" && code !== 0) this.fallen.push(`${name} (${by ?? code} on ${signal})`);
  }

  /** The platform's way: politely, and forcibly six seconds later. Resolves true where politeness did. */
  async cycle(name: string): Promise<boolean> {
    const { child } = this.#members.get(name)!;
    const forced = setTimeout(() => child?.kill("SIGKILL"), 6000);
    const startedAt = performance.now();
    await this.end(name, "SIGTERM");
    clearTimeout(forced);
    return performance.now() - startedAt < 5900;
  }

  /** The relay through which others reach a machine; only machines named as relayed have one. */
  wire(name: string): TcpRelay {
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

  async stop(): Promise<void> {
    await Promise.all(this.names.map((name) => this.end(name, "SIGKILL")));
    for (const { relay } of this.#members.values()) await relay?.close();
    await this.port.close();
  }

  call(name: string, method: string, path: string, body?: string): Promise<PortReply> {
    return this.port.call(name, method, path, body);
  }

  /** Resolves with the milliseconds until all named nodes say that they are ready. */
  async ready(names: readonly string[] = this.names, timeoutMs = 30_000): Promise<number> {
    const startedAt = performance.now();
    for (const name of names) {
      while ((await this.call(name, "GET", "/readyz")).status !== 200) {
        if (performance.now() - startedAt > timeoutMs) throw new Error(`${name} is not ready after ${timeoutMs} ms`);
        await new Promise((resolve) => setTimeout(resolve, 100));
      }
    }
    return performance.now() - startedAt;
  }

  /** Resolves once a process answers at all. */
  async up(name: string, timeoutMs = 30_000): Promise<void> {
    const startedAt = performance.now();
    while ((await this.call(name, "GET", "/healthz")).status !== 200) {
      if (performance.now() - startedAt > timeoutMs) throw new Error(`${name} does not answer after ${timeoutMs} ms`);
      await new Promise((resolve) => setTimeout(resolve, 20));
    }
  }

  /** Who holds each shard, as one edge sees it; empty for a free one. */
  async leaders(): Promise<string[]> {
    const edge = this.withRole("vise").find((name) => this.isRunning(name))!;
    const { body } = await this.call(edge, "GET", "/v1/status");
    return ((body["shards"] ?? []) as Array<{ leader: string }>).map((shard) => shard.leader);
  }

  /** Resolves when every shard has a leader, as one edge sees it. */
  async held(timeoutMs = 30_000): Promise<void> {
    const startedAt = performance.now();
    for (;;) {
      const leaders = await this.leaders();
      if (leaders.length > 0 && leaders.every((leader) => leader !== "")) return;
      if (performance.now() - startedAt > timeoutMs) throw new Error("not every shard is held");
      await new Promise((resolve) => setTimeout(resolve, 100));
    }
  }

  /** Leases lost by all running edges and storage machines since their starts. */
  async leasesLost(): Promise<number> {
    const asked = await Promise.all(
      [...this.withRole("anvil"), ...this.withRole("vise")].map((name) => this.call(name, "GET", "/v1/status")),
    );
    return asked.reduce((sum, reply) => sum + Number(reply.body["leasesLost"] ?? 0), 0);
  }

  /** Resident megabytes of the largest process of each role. */
  async memory(): Promise<Record<string, number>> {
    const largest: Record<string, number> = {};
    for (const { machine } of this.#members.values()) {
      const { body } = await this.call(machine.name, "GET", "/metrics");
      const bytes = Number(/memory_rss_bytes (\d+)/.exec(String(body["raw"]))?.[1] ?? 0);
      largest[machine.role] = Math.max(largest[machine.role] ?? 0, Math.round(bytes / 1048576));
    }
    return largest;
  }

  static #place(address: string): { host: string; port: number } {
    const [host, port] = address.split(":") as [string, string];
    return { host, port: Number(port) };
  }
}
