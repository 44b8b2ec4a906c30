import { createServer, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import { mkdtempSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { after, before, describe, it, mock } from "node:test";
import { expect } from "earl";
import { Cli, commands } from "./cli.js";
import { nearestName } from "./nearestName.js";
import { runbooks } from "./runbooks/runbooks.js";

interface CommandResult {
  code: number;
  out: string;
  err: string;
}

/** Runs one command line in this process. */
async function runCommand(...args: string[]): Promise<CommandResult> {
  const result: CommandResult = { code: -1, out: "", err: "" };
  const cli = new Cli({ write: (text) => (result.out += text) }, { write: (text) => (result.err += text) });
  result.code = await cli.run(["node", "cranetrackctl", ...args]);
  return result;
}

/** A node that records the calls it receives, and gives every call the same reply. */
const calls: string[] = [];
let status = 200;
const reply = { mark: 7, taken: 2, of: 3, nodes: [], isAsked: true, shardsLeft: 4, members: [], shards: [] };
let server: Server;
let nodeOption: string[];
before(async () => {
  server = createServer((request, response) => {
    calls.push(`${request.method ?? ""} ${request.url ?? ""}`);
    request.resume().on("end", () => void response.writeHead(status).end(JSON.stringify(reply)));
  });
  await new Promise<void>((resolve) => void server.listen(0, "127.0.0.1", () => resolve()));
  nodeOption = ["--node", `127.0.0.1:${(server.address() as AddressInfo).port}`];
});
after(() => void server.close());

const file = join(mkdtempSync(join(tmpdir(), "cranetrackctl-")), "configuration.json");
writeFileSync(file, "{}");

describe("cranetrackctl", () => {
  const documented: Array<[line: string[], call: string, out: string]> = [
    [["configuration", "apply", file], "PUT /v1/plan", "version 7 accepted\n"],
    [["configuration", "get"], "GET /v1/plan", `${JSON.stringify(reply)}\n`],
    [["configuration", "rollout"], "GET /v1/plan/rollout", "version 7: in force at 2 of 3\n"],
    [
      ["drain", "start", "m-1"],
      "PUT /v1/machines/m-1/emptying",
      "m-1: drain requested, 4 of 3 shards have a replica there\n",
    ],
    [
      ["drain", "status", "m-1"],
      "GET /v1/machines/m-1/emptying",
      "m-1: drain requested, 4 of 3 shards have a replica there\n",
    ],
    [
      ["drain", "cancel", "m-1"],
      "DELETE /v1/machines/m-1/emptying",
      "m-1: drain requested, 4 of 3 shards have a replica there\n",
    ],
  ];
  for (const [line, call, out] of documented)
    it(`${line.slice(0, 2).join(" ")} calls ${call}`, async () => {
      calls.length = 0;
      expect(await runCommand(...line, ...nodeOption)).toEqual({ code: 0, out, err: "" });
      expect(calls).toEqual([call]);
    });

  const legacyNames: Array<[legacyName: string, name: string, argument: string[]]> = [
    ["plan put", "configuration apply", [file]],
    ["plan get", "configuration get", []],
    ["plan rollout", "configuration rollout", []],
    ["machine empty", "drain start", ["m-1"]],
    ["machine progress", "drain status", ["m-1"]],
    ["machine refill", "drain cancel", ["m-1"]],
  ];
  for (const [legacyName, name, argument] of legacyNames)
    it(`${legacyName} does what ${name} does, and prints a one-line notice`, async () => {
      calls.length = 0;
      const current = await runCommand(...name.split(" "), ...argument, ...nodeOption);
      const legacy = await runCommand(...nodeOption, ...legacyName.split(" "), ...argument);
      const err = `cranetrackctl: "${legacyName}" is the earlier name of "${name}"; it is still accepted\n`;
      expect(legacy).toEqual({ ...current, err });
      expect(calls[1]).toEqual(calls[0]!);
    });

  it("exits with the documented code: refused 1, misused 2, unanswered 3", async () => {
    const codes: number[] = [];
    for (const responseStatus of [200, 422, 503]) {
      status = responseStatus;
      codes.push((await runCommand("configuration", "get", ...nodeOption)).code);
    }
    status = 200;
    codes.push((await runCommand("configuration", "get", "--node", "127.0.0.1:9")).code);
    codes.push(
      (await runCommand("configuration", "apply", ...nodeOption)).code,
      (await runCommand("drain", "start", ...nodeOption)).code,
    );
    expect(codes).toEqual([0, 1, 3, 3, 2, 2]);
  });

  const unknown: Array<[line: string[], nearest: string, list: string]> = [
    [["statsu"], "status", "status, configuration, drain, runbook"],
    [["configuration", "aply", file], "apply", "apply, get, rollout"],
    [["plan", "mend"], "get", "apply, get, rollout"],
    [["drain", "stauts", "m-1"], "status", "start, status, cancel"],
    [["machine", "fill", "m-1"], "start", "start, status, cancel"],
    [["runbook", "lst"], "list", "list, show, run"],
    [["runbook", "run", "lost-zones"], "lost-zone", runbooks.map(({ name }) => name).join(", ")],
  ];
  for (const [line, nearest, list] of unknown)
    it(`${line.join(" ")} is a usage error that lists the nearest and all known names, and sends no call`, async () => {
      calls.length = 0;
      const { code, err } = await runCommand(...line, ...nodeOption);
      expect([code, err.split("\n").length, calls.length]).toEqual([2, 2, 0]);
      expect(err).toInclude(`"${nearest}"`);
      expect(err).toInclude(`Known: ${list}`);
    });

  it("rejects an option that the command does not have", async () => {
    const { code, err } = await runCommand("status", "--nodes", "127.0.0.1:9");
    expect([code, err.includes("--nodes")]).toEqual([2, true]);
  });

  for (const name of ["", ...commands.map((command) => command.name), "plan", "machine"])
    it(`${name} --help shows an example`, async (t) => {
      const lines: string[] = [];
      t.mock.method(console, "info", (text: string) => void lines.push(text));
      const { code } = await runCommand(...(name === "" ? [] : [name]), "--help");
      mock.restoreAll();
      expect([code, /Examples?:\n.*cranetrackctl /.test(lines.join("\n"))]).toEqual([0, true]);
    });

  it("every runbook takes exactly the options that its checks read", async () => {
    for (const { name, args } of runbooks) {
      const flags = Object.keys(args).map((arg) => (arg === "node" ? "target" : arg));
      const missing = await runCommand("runbook", "run", name, ...nodeOption);
      expect([missing.code, missing.err]).toEqual([2, `cranetrackctl: runbook ${name} needs --${flags[0]!}\n`]);
      calls.length = 0;
      const { code, err } = await runCommand(
        "runbook",
        "run",
        name,
        ...flags.flatMap((flag) => [`--${flag}`, file]),
        "--dry-run",
        ...nodeOption,
      );
      expect([code, `${err} ${calls.join()}`.includes("undefined")]).toEqual([0, false]);
    }
  });
});

describe("nearestName", () => {
  it("counts changed, added, left out and swapped letters", () => {
    expect(nearestName("stats", ["start", "status", "cancel"])).toEqual("status");
    expect(nearestName("stauts", ["start", "status", "cancel"])).toEqual("status");
    expect(nearestName("stat", ["start", "status", "cancel"])).toEqual("start");
    expect(nearestName("x", [])).toEqual(undefined);
  });
});
