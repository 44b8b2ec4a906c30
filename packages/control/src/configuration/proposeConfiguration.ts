import type { Kv } from "@cranetrack/core/gen/cranetrack_pb.js";
import {
  Configurations,
  type Configuration,
  type ConfigurationFault,
  type ConfigurationRead,
} from "@cranetrack/core/configuration/configuration.js";
import { ConfigurationSchema } from "@cranetrack/core/configuration/configurationSchema.js";
import { AcceptedChangeKey } from "@cranetrack/core/keys/acceptedChangeKey.js";
import { DocumentKey } from "@cranetrack/core/keys/documentKey.js";
import { IncarnationsKey } from "@cranetrack/core/keys/incarnationsKey.js";
import { ConfigurationKey } from "@cranetrack/core/keys/configurationKey.js";
import type { ClusterNode } from "@cranetrack/core/runtime/clusterNode.js";
import { ApiReplies, type ApiReply } from "@cranetrack/core/http/apiReply.js";
import { JsonBody } from "@cranetrack/core/http/jsonBody.js";
import {
  contentDigestOf,
  decideConfigurationChange,
  inputKeys,
  inputsOf,
  messageOrderFaults,
  type ConfigurationChange,
  type ConfigurationChangeInputs,
} from "./decideConfigurationChange.js";
import { checkConfigurationCapacity } from "./configurationCapacity.js";

/** Of a change that loses a race again and again, each time to another one that was accepted. */
const maxAttempts = 8;

/**
 * Puts a complete configuration in force under a rising version, with the operators' own document about it. Accepted
 * once a majority of the control nodes has both on disk, with a record of the content. Idempotent. A configuration
 * without a document leaves none.
 *
 * First it is decided whether it was acknowledged before, by its content as it was sent; only a new one is validated
 * against the fleet and the configuration in force. With a document, a version below the one in force is acknowledged
 * without effect, once its content is recorded; without one it is rejected as stale.
 *
 * Replies: 409 `stale-mark`, 413 `too-large`, 422 `invalid-plan`, 503 `no-capacity`, unavailable (not done and never
 * will be) or unknown (may have been done).
 */
export async function proposeConfiguration(
  node: ClusterNode,
  body: Uint8Array,
  document?: Uint8Array,
): Promise<ApiReply> {
  if (Math.max(body.length, document?.length ?? 0) > Configurations.maxBytes)
    return ApiReplies.fault(
      413,
      "too-large",
      `a configuration and its document may have ${Configurations.maxBytes} bytes each`,
    );
  const json = JsonBody.read(body);
  if ("reply" in json) return json.reply;
  const read = ConfigurationSchema.read(json.value);
  const version = "configuration" in read ? read.configuration.version : ConfigurationKey.versionOf(body);
  // With a document the body is this node's translation, and its faults may be those of this node's settings.
  if ("faults" in read && (document === undefined || version === 0)) return invalid(read.faults);
  const change = { version, body, document };
  for (let attempt = 0; attempt < maxAttempts; attempt += 1) {
    const reply = await attemptChange(node, change, read);
    if (reply !== "conflict") return reply;
  }
  return ApiReplies.unknown("other configurations came between; the same configuration again resolves it");
}

async function attemptChange(
  node: ClusterNode,
  change: ConfigurationChange,
  read: ConfigurationRead,
): Promise<ApiReply | "conflict"> {
  const { version, document } = change;
  const { bound } = node.configurationVerifier;
  const inputs = await readInputs(node, change);
  if (inputs === undefined || !node.configurationVerifier.isCurrent(bound, inputs.configuration?.revision ?? 0))
    return noMajority();
  const decision = decideConfigurationChange(change, inputs);
  switch (decision.kind) {
    case "acknowledged":
      return accepted(version, decision.revision);
    case "other-content":
      return stale(version, decision.versionInForce, "was accepted with other content");
    case "forgotten":
      return ApiReplies.unavailable(`version ${version} is so old that its content is forgotten`);
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
    return present.outcome === "done" ? inputsOf(version, present.kvs ?? []) : undefined;
  };
  const inputs = await read(inputKeys(version));
  const isUnrecorded = inputs?.configuration !== undefined && inputs.record === undefined;
  if (document === undefined || !isUnrecorded || ConfigurationKey.versionOf(inputs.configuration!.value) !== version)
    return inputs;
  return read([...inputKeys(version), DocumentKey.name]);
}

/** A version above all so far: put in force and recorded in one transaction, if no other was put meanwhile. */
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
      { key: IncarnationsKey.name, value: IncarnationsKey.requested },
      acceptanceRecord(change),
      ...(document === undefined ? [] : [{ key: DocumentKey.name, value: document }]),
    ],
    deletes: document === undefined ? [DocumentKey.name] : [],
  });
  if (written.outcome === "done") node.configurationVerifier.saw(written.revision ?? 0);
  return replyToWrite(change, written);
}

/**
 * A version below the one in force, never acknowledged so far, changes nothing; but its content is committed before it
 * is acknowledged, so that no other content under that version can be.
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
      return ApiReplies.unknown("the control nodes did not answer in time; the same configuration again resolves it");
    default:
      return noMajority();
  }
}

/** The fields are those of the HTTP API v1; `mark` is the version. */
function accepted(version: number, revision: number | undefined): ApiReply {
  return ApiReplies.done({ receipt: "accepted", mark: version, revision });
}

function noMajority(): ApiReply {
  return ApiReplies.unavailable("no majority of the control nodes answers");
}

function invalid(problems: ConfigurationFault[]): ApiReply {
  const message = `the configuration has ${problems.length} problem(s); nothing was changed`;
  return ApiReplies.fault(422, "invalid-plan", message, { problems });
}

/** What this node sees of the fleet may be incomplete, and may change: never a final rejection. */
function noCapacity(problems: ConfigurationFault[]): ApiReply {
  const message =
    "machines are missing for what the configuration promises, as this node sees the fleet; nothing was changed";
  return ApiReplies.fault(503, "no-capacity", message, { problems, retryAfterSeconds: 1 });
}

function stale(version: number, versionInForce: number, why: string): ApiReply {
  const message = `version ${version} ${why}; version ${versionInForce} is in force`;
  return ApiReplies.fault(409, "stale-mark", message, { details: { markInForce: versionInForce } });
}
