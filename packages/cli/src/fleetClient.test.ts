import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import { test } from "node:test";
import { expect } from "earl";
import { FleetClient } from "./fleetClient.js";
import type { Method } from "./retryPolicy.js";

type Handle = (call: IncomingMessage, answer: ServerResponse) => void;

const answering =
  (status: number): Handle =>
  (_call, answer) =>
    void answer.writeHead(status).end("{}");
const resetting: Handle = (call) => void call.socket.resetAndDestroy();
/** Nobody listens there. */
const nowhere = "127.0.0.1:9";

/** Asks two nodes in turn; the status that the client ends with, and how often each node was asked. */
async function ask(method: Method, path: string, first: Handle | undefined): Promise<[number, string, number[]]> {
  const counts = [0, 0];
  const servers: Server[] = [first ?? answering(200), answering(200)].map((handle, i) =>
    createServer((call, answer) => {
      counts[i]! += 1;
      call.resume().on("end", () => handle(call, answer));
    }),
  );
  for (const server of servers)
    await new Promise<void>((resolve) => void server.listen(0, "127.0.0.1", () => resolve()));
  const [one, two] = servers.map((server) => `127.0.0.1:${(server.address() as AddressInfo).port}`);
  const client = new FleetClient([first === undefined ? nowhere : one!, two!]);
  const reply = await client.call(method, path, method === "GET" ? undefined : "{}");
  await client.close();
  for (const server of servers) server.close();
  const fault = reply.body["error"] as { code: string } | undefined;
  return [reply.status, fault?.code ?? "", counts];
}

const drain = "/v1/machines/anvil-1/emptying";

test("a call that may not be repeated is not sent again after a reset; its outcome is unknown", async () => {
  expect(await ask("DELETE", drain, resetting)).toEqual([0, "unsure", [1, 0]]);
  expect(await ask("PUT", drain, resetting)).toEqual([0, "unsure", [1, 0]]);
});

test("reads, and configurations, which are known by version and content, are asked of the next node", async () => {
  expect(await ask("GET", "/v1/status", resetting)).toEqual([200, "", [1, 1]]);
  expect(await ask("PUT", "/v1/plan", resetting)).toEqual([200, "", [1, 1]]);
});

test("what was not sent, or was not carried out, goes on to the next node", async () => {
  expect(await ask("DELETE", drain, undefined)).toEqual([200, "", [0, 1]]);
  expect(await ask("DELETE", drain, answering(503))).toEqual([200, "", [1, 1]]);
});

test("an answer is final, also one that the outcome is unknown", async () => {
  for (const status of [404, 409, 422, 504])
    expect(await ask("PUT", "/v1/plan", answering(status))).toEqual([status, "", [1, 0]]);
});
