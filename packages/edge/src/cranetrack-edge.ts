#!/usr/bin/env node
import { Program } from "@cranetrack/core/runtime/program.js";
import { HttpLink } from "./connections/httpConnection.js";
import { EdgeNode } from "./edgeNode.js";
import { EdgeCalls } from "./edgeCalls.js";

await new Program("vise", ["plan", "shards/"], ({ node, router }) => {
  const vise = new EdgeNode(node, router);
  const calls = new EdgeCalls(vise, router);
  return {
    load: () => undefined,
    start: () => vise.start(),
    stop: () => vise.drain(),
    isReady: () => vise.isReady,
    status: () => vise.status(),
    take: ({ mostLinks, bufferBytes }) => Object.assign(vise.live, { mostLinks, bufferBytes }),
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
