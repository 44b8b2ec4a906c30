#!/usr/bin/env node
import { Program } from "@cranetrack/core/process/program.js";
import { Anvil } from "./process/anvil.js";

await new Program("anvil", ["plan", "shards/", "machines/"], ({ node, disk }) => {
  const anvil = new Anvil(node, disk!, false);
  return {
    load: () => anvil.load(),
    start: () => anvil.start(),
    stop: () => anvil.stop(),
    isReady: () => node.feed.isFresh,
    status: () => anvil.status(),
  };
}).run(process.argv);
