import type { ExitCode } from "../exitCodes.js";
import { FleetClient } from "../fleetClient.js";
import { rolloutText } from "../statusText.js";
import { callFleet, type Command, type Invocation } from "./command.js";

/** The HTTP API's path of the configuration; the API has kept its original names. */
const configurationPath = "/v1/plan";

/** `configuration`: sends a configuration, reads the one in force, and follows its rollout. */
export const configurationCommand: Command = {
  name: "configuration",
  actions: ["apply", "get", "rollout"],
  argument: "file",
  about: "apply FILE (- for standard input), get, or rollout",
  examples: [
    "configuration apply configuration.json --node 10.0.0.11:7100",
    "configuration get --node 10.0.0.11:7100",
    "configuration rollout --node 10.0.0.11:7100",
  ],
  legacy: { name: "plan", actions: { put: "apply" } },
  run(invocation) {
    switch (invocation.action) {
      case "get":
        return callFleet(
          invocation,
          (client) => client.call("GET", configurationPath),
          // Prints the configuration byte for byte, and a line break if it does not end with one.
          (_body, raw) => (raw.endsWith("\n") ? raw : `${raw}\n`),
        );
      case "rollout":
        return callFleet(invocation, (client) => client.call("GET", `${configurationPath}/rollout`), rolloutText);
      default:
        return apply(invocation);
    }
  },
};

async function apply(invocation: Invocation): Promise<ExitCode> {
  const { argument: file } = invocation;
  if (file === undefined) throw new Error("configuration apply needs a file, or - for standard input");
  const configuration = FleetClient.readConfigurationFile(file);
  return callFleet(
    invocation,
    (client) => client.call("PUT", configurationPath, configuration),
    (body) => `version ${String(body["mark"])} accepted\n`,
  );
}
