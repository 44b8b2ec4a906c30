#!/usr/bin/env node
import { nodeRole } from "@cranetrack/core/membership/nodeRole.js";
import { Program } from "@cranetrack/core/runtime/program.js";
import { HttpConnection } from "./connections/httpConnection.js";
import { EdgeNode } from "./edgeNode.js";
import { EdgeCalls } from "./connections/edgeCalls.js";

await new Program(nodeRole.edge, ["plan", "shards/"], ({ node, router }) => {
  const edge = new EdgeNode(node, router);
  const calls = new EdgeCalls(edge, router);
  return {
    load: () => undefined,
    start: () => edge.start(),
    stop: () => edge.drain(),
    isReady: () => edge.isReady,
    status: () => edge.status(),
    applySettings: ({ maxConnections, bufferBytes }) =>
      Object.assign(edge.liveSettings, { maxConnections, bufferBytes }),
    stream: {
      pattern: EdgeCalls.connectionPath,
      open: (path, body, reply) =>
        calls.connection(decodeURIComponent(EdgeCalls.connectionPath.exec(path)![1]!), body, () => {
          reply.hijack();
          return new HttpConnection(reply.raw);
        }),
    },
  };
}).run(process.argv);
