#!/usr/bin/env node
/** Entry point of the control node program. */
import { join } from "node:path";
import { Program } from "@cranetrack/core/runtime/program.js";
import { ConfigurationArchive } from "./configuration/configurationArchive.js";
import { ControlNode } from "./controlNode.js";
import { nodeRole } from "@cranetrack/core/membership/nodeRole.js";

await new Program(nodeRole.control, ["plan", "shards/", "machines/"], ({ node, disk, router }) => {
  const control = new ControlNode(node, disk!, router);
  const archive = new ConfigurationArchive(
    join(node.parts.settings.data!, "plans"),
    node.configuration,
    node.parts.log,
  );
  return {
    load: () => control.load(),
    start: () => control.start(),
    stop: () => control.stop(),
    isReady: () => control.isReady,
    status: () => ({ ...control.status(), archivedVersion: archive.version }),
  };
}).run(process.argv);
