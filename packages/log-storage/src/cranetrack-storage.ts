#!/usr/bin/env node
import { Program } from "@cranetrack/core/runtime/program.js";
import { StorageNode } from "./storageNode.js";
import { nodeRole } from "@cranetrack/core/membership/nodeRole.js";

await new Program(nodeRole.storage, ["plan", "shards/", "machines/"], ({ node, disk }) => {
  const storage = new StorageNode(node, disk!, false);
  return {
    load: () => storage.load(),
    start: () => storage.start(),
    stop: () => storage.stop(),
    isReady: () => node.feed.isFresh,
    status: () => storage.status(),
  };
}).run(process.argv);
