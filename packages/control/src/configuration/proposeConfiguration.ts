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

/** Attempts for a change whose transaction conflicts each time with another accepted change. */
const maxAttempts = 8;

/**
 * Puts a complete configuration in force under a higher version, together with the operator's document that it was
 * translated from. Accepted once a majority of the control nodes has both on disk, with a record of the content.
 * Idempotent. A configuration without a document removes the stored document.
 *
 * A change that was acknowledged before is recognized by its content as it was sent; only a new one is validated
 * against the fleet and the configuration in force. A version below the one in force is rejected as stale, unless it
 * comes with a document: then it is acknowledged without effect once its content is recorded.
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
  const parsed = ConfigurationSchema.read(json.value);
  const version = "configuration" in parsed ? parsed.configuration.version : ConfigurationKey.versionOf(body);
  // With a document the body is this node's translation, so its faults may come from this node's settings.
  if ("faults" in parsed && (document === undefined || version === 0)) return invalidReply(parsed.faults);
  const change = { version, body, document };
  for (let attempt = 0; attempt < maxAttempts; attempt += 1) {
    const reply = await attemptChange(node, change, parsed);
    if (reply !== "conflict") return reply;
  }
  return ApiReplies.unknown("other configurations came between; the same configuration again resolves it");
}

async function attemptChange(
  node: ClusterNode,
  change: ConfigurationChange,
  parsed: ConfigurationRead,
): Promise<ApiReply | "conflict"> {
  const { version, document } = change;
  const { minRevision: bound } = node.configurationVerifier;
  const inputs = await readInputs(node, change);
  if (inputs === undefined || !node.configurationVerifier.isCurrent(bound, inputs.configuration?.revision ?? 0))
    return noMajorityReply();
  const decision = decideConfigurationChange(change, inputs);
  switch (decision.kind) {
    case "acknowledged":
      return acceptedReply(version, decision.revision);
    case "other-content":
      return staleVersionReply(version, decision.versionInForce, "was accepted with other content");
    case "forgotten":
      return ApiReplies.unavailable(`version ${version} is so old that its content is forgotten`);
    case "superseded":
      if (document === undefined)
        return staleVersionReply(version, decision.versionInForce, "is not above the one in force");
      return "faults" in parsed ? invalidReply(parsed.faults) : recordSuperseded(node, change, inputs);
    case "newer":
      return "faults" in parsed ? invalidReply(parsed.faults) : putInForce(node, change, parsed.configuration, inputs);
  }
}

/**
 * Reads the inputs of the decision, confirmed by a majority; undefined if none confirms. The document, as large as the
 * configuration, is read only if it is needed: the version is in force and has no record.
 */
async function readInputs(
  node: ClusterNode,
  { version, document }: ConfigurationChange,
): Promise<ConfigurationChangeInputs | undefined> {
  const readKeys = async (keys: string[]): Promise<ConfigurationChangeInputs | undefined> => {
    const readOutcome = await node.store.read(keys);
    return readOutcome.outcome === "done" ? inputsOf(version, readOutcome.kvs ?? []) : undefined;
  };
  const inputs = await readKeys(inputKeys(version));
  const isUnrecorded = inputs?.configuration !== undefined && inputs.record === undefined;
  if (document === undefined || !isUnrecorded || ConfigurationKey.versionOf(inputs.configuration!.value) !== version)
    return inputs;
  return readKeys([...inputKeys(version), DocumentKey.name]);
}

/** Puts a new highest version in force and records it in one transaction; `conflict` if another change came first. */
async function putInForce(
  node: ClusterNode,
  change: ConfigurationChange,
  configuration: Configuration,
  inputs: ConfigurationChangeInputs,
): Promise<ApiReply | "conflict"> {
  const { body, document } = change;
  const orderFaults =
    inputs.configuration === undefined ? [] : messageOrderFaults(inputs.configuration.value, configuration);
  if (orderFaults.length > 0) return invalidReply(orderFaults);
  const capacityFaults = checkConfigurationCapacity(node, configuration);
  if (capacityFaults.length > 0) return noCapacityReply(capacityFaults);
  const txnOutcome = await node.store.txn({
    checks: [{ key: ConfigurationKey.name, revision: inputs.configuration?.revision ?? 0 }],
    puts: [
      { key: ConfigurationKey.name, value: body },
      { key: IncarnationsKey.name, value: IncarnationsKey.placeholder },
      acceptanceRecord(change),
      ...(document === undefined ? [] : [{ key: DocumentKey.name, value: document }]),
    ],
    deletes: document === undefined ? [DocumentKey.name] : [],
  });
  if (txnOutcome.outcome === "done") node.configurationVerifier.recordSeen(txnOutcome.revision ?? 0);
  return replyToWrite(change, txnOutcome);
}

/**
 * Records the content of a version that is below the one in force and was never acknowledged. The version has no
 * effect, but recording it before it is acknowledged ensures that the version is never acknowledged with other content.
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
  txnOutcome: { outcome: string; revision?: number },
): ApiReply | "conflict" {
  switch (txnOutcome.outcome) {
    case "done":
      return acceptedReply(change.version, txnOutcome.revision);
    case "conflict":
      return "conflict";
    case "unsure":
      return ApiReplies.unknown("the control nodes did not answer in time; the same configuration again resolves it");
    default:
      return noMajorityReply();
  }
}

/** The fields are those of the HTTP API v1; `mark` is the version. */
function acceptedReply(version: number, revision: number | undefined): ApiReply {
  return ApiReplies.done({ receipt: "accepted", mark: version, revision });
}

function noMajorityReply(): ApiReply {
  return ApiReplies.unavailable("no majority of the control nodes answers");
}

function invalidReply(problems: ConfigurationFault[]): ApiReply {
  const message = `the configuration has ${problems.length} problem(s); nothing was changed`;
  return ApiReplies.fault(422, "invalid-plan", message, { problems });
}

/** Never a final rejection: this node's view of the fleet may be incomplete and may change. */
function noCapacityReply(problems: ConfigurationFault[]): ApiReply {
  const message =
    "machines are missing for what the configuration promises, as this node sees the fleet; nothing was changed";
  return ApiReplies.fault(503, "no-capacity", message, { problems, retryAfterSeconds: 1 });
}

function staleVersionReply(version: number, versionInForce: number, reason: string): ApiReply {
  const message = `version ${version} ${reason}; version ${versionInForce} is in force`;
  return ApiReplies.fault(409, "stale-mark", message, { details: { markInForce: versionInForce } });
}
