/** Checks publishes against the contracts of their topics. No I/O: decides from its arguments alone. */
import {
  Configurations,
  type Configuration,
  type TopicContract,
} from "@cranetrack/core/configuration/configuration.js";
import type { Publish } from "@cranetrack/core/gen/cranetrack_pb.js";

/** How a publish violates its contract; the code and the reason are sent to the client. */
export interface ContractViolation {
  readonly code: string;
  readonly reason: string;
}

/**
 * Undefined if the contract allows the publish. A violating publish is sequenced too, so that its number is used up.
 */
export function findContractViolation(
  configuration: Configuration | undefined,
  contract: TopicContract,
  publish: Publish,
): ContractViolation | undefined {
  if (!Configurations.mayPublish(contract, publish.session))
    return { code: "not-a-publisher", reason: "the contract does not name this session as a publisher" };
  const maxBytes = Configurations.maxPayload(configuration, contract);
  if (publish.payload.length > maxBytes)
    return {
      code: "too-large",
      reason: `the payload has ${publish.payload.length} bytes and the plan allows ${maxBytes}`,
    };
  return undefined;
}
