#!/usr/bin/env node
import { Program } from "@cranetrack/core/process/program.js";
import { HttpLink } from "./link/httpLink.js";
import { Vise } from "./process/vise.js";
import { ViseCalls } from "./process/viseCalls.js";

await new Program("vise", ["plan", "shards/"], ({ node, router }) => {
  const vise = new Vise(node, router);
  const calls = new ViseCalls(vise, router);
  return {
    load: () => undefined,
    start: () => vise.start(),
    stop: () => vise.drain(),
    isReady: () => vise.isReady,
    status: () => vise.status(),
    take: ({ mostLinks, bufferBytes }) => Object.assign(vise.live, { mostLinks, bufferBytes }),
    stream: {
      pattern: ViseCalls.linkPath,
      open: (path, body, reply) =>
        calls.link(decodeURIComponent(ViseCalls.linkPath.exec(path)![1]!), body, () => {
          reply.hijack();
          return new HttpLink(reply.raw);
        }),
    },
  };
}).run(process.argv);
