import type { Kv } from "@cranetrack/core/gen/cranetrack_pb.js";
import {
  Configurations,
  type Configuration,
  type ConfigurationFault,
  type ConfigurationRead,
} from "@cranetrack/core/configuration/configuration.js";
import { ConfigurationSchema } from "@cranetrack/core/configuration/configurationSchema.js";
import { AcceptedChangeKey } from "@cranetrack/core/keys/acceptedOrderKey.js";
import { DocumentKey } from "@cranetrack/core/keys/documentKey.js";
import { ConfigurationKey } from "@cranetrack/core/keys/configurationKey.js";
import type { ClusterNode } from "@cranetrack/core/runtime/clusterNode.js";
import { ApiReplies, type ApiReply } from "@cranetrack/core/http/apiReply.js";
import { JsonBody } from "@cranetrack/core/http/jsonBody.js";
import {
  contentDigestOf,
  decideConfigurationChange,
  ConfigurationChangeKeys,
  type ConfigurationChange,
  type ConfigurationChangeInputs,
} from "./judgeOrder.js";
import { checkConfigurationCapacity } from "./configurationCapacity.js";

/** Of an order that loses a race again and again, each time to another one that was taken. */
const maxAttempts = 8;

/**
 * A whole configuration under a rising version, with the operators' own document about it: accepted once a majority of
 * the
 * control nodes has both on disk, with a record of its content. A configuration without a document leaves none.
 *
 * First comes the question whether it was taken already, by its content as it was sent; only what is new is held
 * against the fleet and the configuration in force. With a document, a version below the one in force is acknowledged
 * without
 * effect, once its content is recorded; without one it is refused as stale.
 */
export async function proposeConfiguration(
  node: ClusterNode,
  body: Uint8Array,
  document?: Uint8Array,
): Promise<ApiReply> {
  if (Math.max(body.length, document?.length ?? 0) > Configurations.maxBytes)
    return ApiReplies.fault(413, "too-large", `a plan and its document may have ${Configurations.maxBytes} bytes each`);
  const json = JsonBody.read(body);
  if ("reply" in json) return json.reply;
  const read = ConfigurationSchema.read(json.value);
  const version = "configuration" in read ? read.configuration.version : ConfigurationKey.versionOf(body);
  // With a document the body is this node's translation, and its faults may be those of this node's settings.
  if ("faults" in read && (document === undefined || version === 0)) return invalid(read.faults);
  const change = { version: version, body, document };
  for (let attempt = 0; attempt < maxAttempts; attempt += 1) {
    const reply = await attemptChange(node, change, read);
    if (reply !== "conflict") return reply;
  }
  return ApiReplies.unknown("other plans came between; the same plan again settles it");
}

async function attemptChange(
  node: ClusterNode,
  change: ConfigurationChange,
  read: ConfigurationRead,
): Promise<ApiReply | "conflict"> {
  const { version: version, document } = change;
  const { bound } = node.configurationVerifier;
  const inputs = await readInputs(node, change);
  if (inputs === undefined || !node.configurationVerifier.isCurrent(bound, inputs.configuration?.revision ?? 0))
    return noMajority();
  const decision = decideConfigurationChange(change, inputs);
  switch (decision.kind) {
    case "taken":
      return accepted(version, decision.revision);
    case "taken-by-other":
      return stale(version, decision.versionInForce, "was taken with other content");
    case "forgotten":
      return ApiReplies.unavailable(`mark ${version} is so old that its content is forgotten`);
    case "superseded":
      if (document === undefined) return stale(version, decision.versionInForce, "is not above the one in force");
      return "faults" in read ? invalid(read.faults) : recordSuperseded(node, change, inputs);
    case "newer":
      return "faults" in read ? invalid(read.faults) : putInForce(node, change, read.configuration, inputs);
  }
}

/** A confirmed read. The document is as large as the configuration, and needed only where its version has no record. */
async function readInputs(
  node: ClusterNode,
  { version, document }: ConfigurationChange,
): Promise<ConfigurationChangeInputs | undefined> {
  const read = async (keys: string[]): Promise<ConfigurationChangeInputs | undefined> => {
    const present = await node.store.read(keys);
    return present.outcome === "done" ? ConfigurationChangeKeys.read(version, present.kvs ?? []) : undefined;
  };
  const inputs = await read(ConfigurationChangeKeys.of(version));
  const isUnrecorded = inputs?.configuration !== undefined && inputs.record === undefined;
  if (document === undefined || !isUnrecorded || ConfigurationKey.versionOf(inputs.configuration!.value) !== version)
    return inputs;
  return read([...ConfigurationChangeKeys.of(version), DocumentKey.name]);
}

/** Above all versions so far: put in force, and recorded, in one step, if nothing else was put meanwhile. */
async function putInForce(
  node: ClusterNode,
  change: ConfigurationChange,
  configuration: Configuration,
  inputs: ConfigurationChangeInputs,
): Promise<ApiReply | "conflict"> {
  const { body, document } = change;
  const orderFaults =
    inputs.configuration === undefined ? [] : messageOrderFaults(inputs.configuration.value, configuration);
  if (orderFaults.length > 0) return invalid(orderFaults);
  const capacityFaults = checkConfigurationCapacity(node, configuration);
  if (capacityFaults.length > 0) return noCapacity(capacityFaults);
  const written = await node.store.txn({
    checks: [{ key: ConfigurationKey.name, revision: inputs.configuration?.revision ?? 0 }],
    puts: [
      { key: ConfigurationKey.name, value: body },
      acceptanceRecord(change),
      ...(document === undefined ? [] : [{ key: DocumentKey.name, value: document }]),
    ],
    deletes: document === undefined ? [DocumentKey.name] : [],
  });
  if (written.outcome === "done") node.configurationVerifier.saw(written.revision ?? 0);
  return replyToWrite(change, written);
}

/**
 * Below the version in force and never acknowledged so far. It changes nothing; but its content is committed before it
 * is acknowledged, so that no other content under its version can be.
 */
async function recordSuperseded(
  node: ClusterNode,
  change: ConfigurationChange,
  inputs: ConfigurationChangeInputs,
): Promise<ApiReply | "conflict"> {
  const check = { key: AcceptedChangeKey.of(change.version), revision: inputs.record?.revision ?? 0 };
  return replyToWrite(change, await node.store.txn({ checks: [check], puts: [acceptanceRecord(change)], deletes: [] }));
}

function acceptanceRecord(change: ConfigurationChange): Pick<Kv, "key" | "value"> {
  return { key: AcceptedChangeKey.of(change.version), value: contentDigestOf(change) };
}

function replyToWrite(
  change: ConfigurationChange,
  written: { outcome: string; revision?: number },
): ApiReply | "conflict" {
  switch (written.outcome) {
    case "done":
      return accepted(change.version, written.revision);
    case "conflict":
      return "conflict";
    case "unsure":
      return ApiReplies.unknown("the lathes did not answer in time; the same plan again settles it");
    default:
      return noMajority();
  }
}

/** A space is one stream, or a stream a topic, for its whole life: where its messages go follows from it. */
function messageOrderFaults(inForce: Uint8Array, configuration: Configuration): ConfigurationFault[] {
  const before = new Map(ConfigurationKey.outline(inForce)?.spaces.map((space) => [space.prefix, space]));
  return configuration.spaces.flatMap((space, i) => {
    const earlier = before.get(Configurations.prefixOf(space));
    const isWhole = space.program[0]!.contract.order === "space";
    if (earlier === undefined || earlier.isWhole === isWhole) return [];
    const order = earlier.isWhole ? "space" : "sender or topic";
    const problem = `space ${space.name} keeps order ${order} while it lives; remove the space and make it again`;
    return [{ path: `spaces.${i}.program.0.owe.order`, problem }];
  });
}

function accepted(version: number, revision: number | undefined): ApiReply {
  return ApiReplies.done({ receipt: "accepted", mark: version, revision });
}

function noMajority(): ApiReply {
  return ApiReplies.unavailable("no majority of the lathes answers");
}

function invalid(problems: ConfigurationFault[]): ApiReply {
  const message = `the plan has ${problems.length} problem(s); nothing was changed`;
  return ApiReplies.fault(422, "invalid-plan", message, { problems });
}

/** What this node sees of the fleet may be incomplete, and may change: never a refusal for good. */
function noCapacity(problems: ConfigurationFault[]): ApiReply {
  const message = "machines are missing for what the plan promises, as this node sees the fleet; nothing was changed";
  return ApiReplies.fault(503, "no-capacity", message, { problems, retryAfterSeconds: 1 });
}

function stale(version: number, versionInForce: number, why: string): ApiReply {
  const message = `mark ${version} ${why}; mark ${versionInForce} is in force`;
  return ApiReplies.fault(409, "stale-mark", message, { details: { markInForce: versionInForce } });
}
