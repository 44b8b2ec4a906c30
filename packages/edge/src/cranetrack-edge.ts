#!/usr/bin/env node
import { Program } from "@cranetrack/core/runtime/program.js";
import { HttpLink } from "./connections/httpConnection.js";
import { EdgeNode } from "./edgeNode.js";
import { EdgeCalls } from "./edgeCalls.js";

await new Program("vise", ["plan", "shards/"], ({ node, router }) => {
  const edge = new EdgeNode(node, router);
  const calls = new EdgeCalls(edge, router);
  return {
    load: () => undefined,
    start: () => edge.start(),
    stop: () => edge.drain(),
    isReady: () => edge.isReady,
    status: () => edge.status(),
    take: ({ mostLinks, bufferBytes }) => Object.assign(edge.live, { mostLinks, bufferBytes }),
    stream: {
      pattern: EdgeCalls.linkPath,
      open: (path, body, reply) =>
        calls.link(decodeURIComponent(EdgeCalls.linkPath.exec(path)![1]!), body, () => {
          reply.hijack();
          return new HttpLink(reply.raw);
        }),
    },
  };
}).run(process.argv);
