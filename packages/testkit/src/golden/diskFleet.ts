/** A fleet of one control node, one storage node and one edge, as processes on loopback, on data folders of a kind. */
import { spawn, type ChildProcess } from "node:child_process";
import { once } from "node:events";
import { openSync, readFileSync, writeFileSync } from "node:fs";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import { programFile, settingsContent, type DiskKind, type NodeKind } from "./diskAdapter.js";
import { drawFreePorts } from "@cranetrack/platform/soak/drawPort.js";

/** Where the golden data folders are. */
export const goldenFolder = fileURLToPath(new URL("../../golden/disk", import.meta.url));
/** The kinds of data folder there are. */
export const diskKinds: readonly DiskKind[] = ["lmdb", "journal"];
/** The nodes that have a data folder. */
export const nodesWithData = ["control", "storage"] as const;

/** A reply of the service's HTTP API. */
export interface Reply {
  readonly status: number;
  readonly text: string;
  readonly body: Record<string, unknown>;
}
/** A line of a client's connection. */
export type Line = Record<string, unknown>;
/** A client's connection: the lines that came so far, until it is closed. */
export interface Connection {
  readonly lines: readonly Line[];
  close(): void;
}

/** Resolves once a condition holds; rejects with what is awaited after some time. */
export async function until(
  what: string,
  condition: () => Promise<boolean> | boolean,
  timeoutMs = 20_000,
): Promise<void> {
  const deadline = performance.now() + timeoutMs;
  while (!(await condition())) {
    if (performance.now() > deadline) throw new Error(`still waiting after ${timeoutMs} ms until ${what}`);
    await new Promise((resolve) => setTimeout(resolve, 20));
  }
}

/** Starts, calls and stops the three processes; data folders are `control` and `storage` in the fleet's folder. */
export class DiskFleet {
  static readonly nodes: readonly NodeKind[] = ["control", "storage", "edge"];

  readonly #folder: string;
  readonly #kind: DiskKind;
  /** A module that the processes load before their program. */
  readonly #preload: string | undefined;
  readonly #http = new Map<NodeKind, string>();
  readonly #processes = new Map<NodeKind, ChildProcess>();

  constructor(folder: string, kind: DiskKind, preload?: string) {
    this.#folder = folder;
    this.#kind = kind;
    this.#preload = preload;
  }

  /** Resolves once all nodes say that they are ready. */
  async start(): Promise<void> {
    const ports = await drawFreePorts(2 * DiskFleet.nodes.length);
    const addresses = ports.map((port) => `127.0.0.1:${port}`);
    DiskFleet.nodes.forEach((node, i) => {
      this.#http.set(node, addresses[DiskFleet.nodes.length + i]!);
      this.#launch(node, addresses[i]!, addresses.slice(0, DiskFleet.nodes.length));
    });
    for (const node of DiskFleet.nodes)
      await until(`${node} is ready ${this.#errorsOf(node)}`, async () => {
        if (this.#processes.get(node)!.exitCode !== null) throw new Error(`${node} ended: ${this.#errorsOf(node)}`);
        return (await this.call(node, "GET", "/readyz")).status === 200;
      });
  }

  /** Calls the HTTP API of a node; status 0 where nobody answers. */
  async call(node: NodeKind, method: string, path: string, body?: string): Promise<Reply> {
    try {
      const headers = new Headers(body === undefined ? [] : [["Content-Type", "application/json"]]);
      const reply = await fetch(this.#url(node, path), { method, headers, ...(body === undefined ? {} : { body }) });
      const text = await reply.text();
      return { status: reply.status, text, body: parsed(text) };
    } catch {
      return { status: 0, text: "", body: {} };
    }
  }

  /** Calls again while the fleet says that it cannot answer yet. */
  async callUntilAnswered(node: NodeKind, method: string, path: string, body?: string): Promise<Reply> {
    let reply: Reply | undefined;
    await until(`${method} ${path} is answered`, async () => {
      reply = await this.call(node, method, path, body);
      return reply.status > 0 && reply.status < 500;
    });
    return reply!;
  }

  /** Opens a session's connection at the edge. */
  async connect(session: string, body: object): Promise<Connection> {
    const abort = new AbortController();
    const reply = await fetch(this.#url("edge", `/v1/sessions/${session}/link`), {
      method: "POST",
      headers: { "Content-Type": "application/json" },
      body: JSON.stringify(body),
      signal: abort.signal,
    });
    if (reply.status !== 200) throw new Error(`${session} is not connected: ${await reply.text()}`);
    const lines: Line[] = [];
    void readLines(reply.body!, lines).catch(() => undefined);
    return { lines, close: () => abort.abort() };
  }

  /** Ends the processes politely, the edge first: each hands back what it has while the others still run. */
  async stop(): Promise<void> {
    for (const node of [...DiskFleet.nodes].reverse()) {
      const process = this.#processes.get(node);
      if (process === undefined) continue;
      this.#processes.delete(node);
      if (process.exitCode !== null || process.signalCode !== null) continue;
      const ended = once(process, "exit");
      process.kill("SIGTERM");
      const [code] = (await ended) as [number | null];
      if (code !== 0) throw new Error(`${node} ended with ${code}: ${this.#errorsOf(node)}`);
    }
  }

  #launch(node: NodeKind, address: string, seeds: readonly string[]): void {
    const settings = settingsContent({
      node,
      name: `${node}-1`,
      address,
      http: this.#http.get(node)!,
      seeds,
      logFile: join(this.#folder, `${node}.log`),
      disk: this.#kind,
      dataFolder: node === "edge" ? undefined : join(this.#folder, node),
    });
    const path = join(this.#folder, `${node}.json`);
    writeFileSync(path, JSON.stringify(settings));
    const errors = openSync(join(this.#folder, `${node}.err`), "a");
    const preload = this.#preload === undefined ? [] : ["--import", this.#preload];
    const command = [...preload, programFile(node), "--settings", path];
    this.#processes.set(node, spawn(process.execPath, command, { stdio: ["ignore", errors, errors] }));
  }

  #url(node: NodeKind, path: string): string {
    return `http://${this.#http.get(node)!}${path}`;
  }

  #errorsOf(node: NodeKind): string {
    return readFileSync(join(this.#folder, `${node}.err`), "utf8");
  }
}

function parsed(text: string): Record<string, unknown> {
  try {
    return JSON.parse(text) as Record<string, unknown>;
  } catch {
    return {};
  }
}

async function readLines(body: ReadableStream<Uint8Array>, lines: Line[]): Promise<void> {
  const decoder = new TextDecoder();
  const reader = body.getReader();
  let rest = "";
  for (let read = await reader.read(); !read.done; read = await reader.read()) {
    const complete = (rest + decoder.decode(read.value, { stream: true })).split("\n");
    rest = complete.pop()!;
    for (const line of complete) lines.push(JSON.parse(line) as Line);
  }
}
