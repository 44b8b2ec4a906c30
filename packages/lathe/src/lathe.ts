#!/usr/bin/env node
import { Program } from "@cranetrack/chest/process/program.js";
import { Lathe } from "./process/lathe.js";

await new Program("lathe", ["plan", "shards/", "machines/"], ({ node, disk, router }) => {
  const lathe = new Lathe(node, disk!, router);
  return {
    load: () => lathe.load(),
    start: () => lathe.start(),
    stop: () => lathe.spare.stop(),
    isReady: () => lathe.isReady,
    status: () => lathe.status(),
  };
}).run(process.argv);
