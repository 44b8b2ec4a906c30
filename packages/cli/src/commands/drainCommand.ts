import { callFleet, type Command } from "./command.js";

/** The HTTP method of each action on a machine's drain request. */
const methodByAction = { start: "PUT", status: "GET", cancel: "DELETE" } as const;

/** `drain`: moves all topic logs, shard leaderships and the vote off a machine, or cancels that. */
export const drainCommand: Command = {
  name: "drain",
  actions: Object.keys(methodByAction),
  argument: "name",
  about: "start NAME, status NAME, or cancel NAME",
  examples: [
    "drain start storage-3 --node 10.0.0.11:7100",
    "drain status storage-3 --node 10.0.0.11:7100 --json",
    "drain cancel storage-3 --node 10.0.0.11:7100",
  ],
  legacy: { name: "machine", actions: { empty: "start", progress: "status", refill: "cancel" } },
  async run(invocation) {
    const { action, argument: machine } = invocation;
    if (machine === undefined) throw new Error(`drain ${action} needs the machine's name`);
    const method = methodByAction[action as keyof typeof methodByAction];
    return callFleet(
      invocation,
      (client) => client.call(method, `/v1/machines/${encodeURIComponent(machine)}/emptying`),
      (body) =>
        `${machine}: ${body["isAsked"] === true ? "drain requested" : "in use"}, ` +
        `${String(body["shardsLeft"])} of ${String(body["of"])} shards have a replica there\n`,
    );
  },
};
