#!/usr/bin/env node
import { Program } from "@cranetrack/core/runtime/program.js";
import { StorageNode } from "./storageNode.js";

await new Program("anvil", ["plan", "shards/", "machines/"], ({ node, disk }) => {
  const anvil = new StorageNode(node, disk!, false);
  return {
    load: () => anvil.load(),
    start: () => anvil.start(),
    stop: () => anvil.stop(),
    isReady: () => node.feed.isFresh,
    status: () => anvil.status(),
  };
}).run(process.argv);
