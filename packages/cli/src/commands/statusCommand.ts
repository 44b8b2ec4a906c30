import { statusText } from "../statusText.js";
import { callFleet, type Command } from "./command.js";

/** `status`: the fleet as one node sees it. */
export const statusCommand: Command = {
  name: "status",
  actions: [],
  about: "Members, shard leaders, and what is wrong, as one node sees it",
  examples: ["status --node 10.0.0.11:7100", "status --node 10.0.0.11:7100 --json"],
  run: (invocation) => callFleet(invocation, (client) => client.call("GET", "/v1/status"), statusText),
};
