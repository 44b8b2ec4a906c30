import type { ConfigurationFault, ConfigurationRead } from "./configuration.js";
import { documentFields, fromDocument, type ConfigurationDocument } from "./configurationDocument.js";

type Check = (value: unknown, path: string) => ConfigurationFault | undefined;

const checkString: Check = (value, path) =>
  typeof value === "string" ? undefined : { path, problem: "must be a string" };
const checkNumber: Check = (value, path) =>
  Number.isFinite(value) ? undefined : { path, problem: "must be a number" };
const checkVersion: Check = (value, path) =>
  Number.isSafeInteger(value) && (value as number) > 0
    ? undefined
    : { path, problem: "must be a positive whole number" };
const checkOrder: Check = (value, path) =>
  ["sender", "topic", "space", "one"].includes(value as string) ? undefined : { path, problem: "must be an order" };

function checkArray(check: Check): Check {
  return (value, path) => {
    if (!Array.isArray(value)) return { path, problem: "must be an array" };
    for (const [i, element] of value.entries()) {
      const fault = check(element, `${path}.${i}`);
      if (fault !== undefined) return fault;
    }
    return undefined;
  };
}

/** Keys that end with a question mark are optional; keys that are not listed are faults. */
function checkObject(fields: Record<string, Check>): Check {
  const checks = new Map(Object.entries(fields).map(([key, check]) => [key.replace("?", ""), check]));
  const required = Object.keys(fields).filter((name) => !name.endsWith("?"));
  return (value, path) => {
    if (typeof value !== "object" || value === null || Array.isArray(value))
      return { path, problem: "must be an object" };
    const pathOf = (key: string): string => (path === "" ? key : `${path}.${key}`);
    const missing = required.find((key) => !Object.hasOwn(value, key));
    if (missing !== undefined) return { path: pathOf(missing), problem: "is missing" };
    for (const [key, field] of Object.entries(value)) {
      const fault = checks.has(key)
        ? checks.get(key)!(field, pathOf(key))
        : { path: pathOf(key), problem: "is not known to this version" };
      if (fault !== undefined) return fault;
    }
    return undefined;
  };
}

const configurationCheck = checkObject({
  [documentFields.version]: checkVersion,
  spaces: checkArray(
    checkObject({
      name: checkString,
      "prefix?": checkString,
      "deadlineMs?": checkNumber,
      program: checkArray(
        checkObject({
          when: checkObject({ "topic?": checkString, "topicPrefix?": checkString }),
          [documentFields.contract]: checkObject({
            keep: checkNumber,
            order: checkOrder,
            fault_budget: checkObject({ "machines?": checkNumber, "zones?": checkNumber }),
            "publishers?": checkArray(checkString),
            "maxBytes?": checkNumber,
          }),
        }),
      ),
    }),
  ),
  "limits?": checkObject({ "subscriptions?": checkNumber, "payloadBytes?": checkNumber }),
});

/**
 * Reads configurations that were checked in full when they were written. Checks only whether the data has the shape
 * that this version knows, on every node and without a library.
 */
export const ConfigurationReader = {
  read(value: unknown): ConfigurationRead {
    const fault = configurationCheck(value, "");
    return fault === undefined ? { configuration: fromDocument(value as ConfigurationDocument) } : { faults: [fault] };
  },

  /** Reads any text; text that is not JSON is a fault. */
  parse(configuration: string): ConfigurationRead {
    try {
      return ConfigurationReader.read(JSON.parse(configuration));
    } catch (cause) {
      return { faults: [{ path: "", problem: `is not JSON: ${(cause as Error).message}` }] };
    }
  },
};
