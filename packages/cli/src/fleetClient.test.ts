import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import { test } from "node:test";
import { expect } from "earl";
import { FleetClient } from "./fleetClient.js";
import type { Method } from "./retryPolicy.js";

type RequestHandler = (call: IncomingMessage, response: ServerResponse) => void;

const respondWith =
  (status: number): RequestHandler =>
  (_call, response) =>
    void response.writeHead(status).end("{}");
const resetConnection: RequestHandler = (call) => void call.socket.resetAndDestroy();
/** No process listens there. */
const closedAddress = "127.0.0.1:9";

/** Calls two nodes in order; returns the status, the error code and how many calls each node received. */
async function callTwoNodes(
  method: Method,
  path: string,
  first: RequestHandler | undefined,
): Promise<[number, string, number[]]> {
  const callCounts = [0, 0];
  const servers: Server[] = [first ?? respondWith(200), respondWith(200)].map((handle, i) =>
    createServer((call, response) => {
      callCounts[i]! += 1;
      call.resume().on("end", () => handle(call, response));
    }),
  );
  for (const server of servers)
    await new Promise<void>((resolve) => void server.listen(0, "127.0.0.1", () => resolve()));
  const [firstAddress, secondAddress] = servers.map((server) => `127.0.0.1:${(server.address() as AddressInfo).port}`);
  const client = new FleetClient([first === undefined ? closedAddress : firstAddress!, secondAddress!]);
  const reply = await client.call(method, path, method === "GET" ? undefined : "{}");
  await client.close();
  for (const server of servers) server.close();
  const error = reply.body["error"] as { code: string } | undefined;
  return [reply.status, error?.code ?? "", callCounts];
}

const drainPath = "/v1/machines/anvil-1/emptying";

test("a call that may not be repeated is not sent again after a connection reset; its outcome is unknown", async () => {
  expect(await callTwoNodes("DELETE", drainPath, resetConnection)).toEqual([0, "unsure", [1, 0]]);
  expect(await callTwoNodes("PUT", drainPath, resetConnection)).toEqual([0, "unsure", [1, 0]]);
});

test("reads, and configurations, which version and content identify, are sent to the next node", async () => {
  expect(await callTwoNodes("GET", "/v1/status", resetConnection)).toEqual([200, "", [1, 1]]);
  expect(await callTwoNodes("PUT", "/v1/plan", resetConnection)).toEqual([200, "", [1, 1]]);
});

test("a call that was not sent, or not carried out, is sent to the next node", async () => {
  expect(await callTwoNodes("DELETE", drainPath, undefined)).toEqual([200, "", [0, 1]]);
  expect(await callTwoNodes("DELETE", drainPath, respondWith(503))).toEqual([200, "", [1, 1]]);
});

test("a response is final, also one that says that the outcome is unknown", async () => {
  for (const status of [404, 409, 422, 504])
    expect(await callTwoNodes("PUT", "/v1/plan", respondWith(status))).toEqual([status, "", [1, 0]]);
});
