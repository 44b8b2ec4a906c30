import type { ConfigurationFault, ConfigurationRead } from "./configuration.js";
import { documentFields, fromDocument, type ConfigurationDocument } from "./configurationDocument.js";

type Check = (value: unknown, path: string) => ConfigurationFault | undefined;

const text: Check = (value, path) => (typeof value === "string" ? undefined : { path, problem: "must be a string" });
const number: Check = (value, path) => (Number.isFinite(value) ? undefined : { path, problem: "must be a number" });
const version: Check = (value, path) =>
  Number.isSafeInteger(value) && (value as number) > 0 ? undefined : { path, problem: "must be a mark" };
const order: Check = (value, path) =>
  ["sender", "topic", "space", "one"].includes(value as string) ? undefined : { path, problem: "must be an order" };

function list(check: Check): Check {
  return (value, path) => {
    if (!Array.isArray(value)) return { path, problem: "must be an array" };
    for (const [i, one] of value.entries()) {
      const fault = check(one, `${path}.${i}`);
      if (fault !== undefined) return fault;
    }
    return undefined;
  };
}

/** Keys that end with a question version may be absent; no others may be there. */
function record(fields: Record<string, Check>): Check {
  const checks = new Map(Object.entries(fields).map(([key, check]) => [key.replace("?", ""), check]));
  const needed = Object.keys(fields).filter((key) => !key.endsWith("?"));
  return (value, path) => {
    if (typeof value !== "object" || value === null || Array.isArray(value))
      return { path, problem: "must be an object" };
    const within = (key: string): string => (path === "" ? key : `${path}.${key}`);
    const absent = needed.find((key) => !Object.hasOwn(value, key));
    if (absent !== undefined) return { path: within(absent), problem: "is missing" };
    for (const [key, one] of Object.entries(value)) {
      const fault = checks.has(key)
        ? checks.get(key)!(one, within(key))
        : { path: within(key), problem: "is not known to this version" };
      if (fault !== undefined) return fault;
    }
    return undefined;
  };
}

const configurationCheck = record({
  [documentFields.version]: version,
  spaces: list(
    record({
      name: text,
      "prefix?": text,
      "deadlineMs?": number,
      program: list(
        record({
          when: record({ "topic?": text, "topicPrefix?": text }),
          [documentFields.contract]: record({
            keep: number,
            order,
            fault_budget: record({ "machines?": number, "zones?": number }),
            "publishers?": list(text),
            "maxBytes?": number,
          }),
        }),
      ),
    }),
  ),
  "limits?": record({ "subscriptions?": number, "payloadBytes?": number }),
});

/**
 * Reads configurations that were checked when they were put, on every node and without a library: only whether the data
 * has the shape that this version knows.
 */
export const ConfigurationReader = {
  read(value: unknown): ConfigurationRead {
    const fault = configurationCheck(value, "");
    return fault === undefined ? { configuration: fromDocument(value as ConfigurationDocument) } : { faults: [fault] };
  },

  /** Whatever the text is. */
  parse(configuration: string): ConfigurationRead {
    try {
      return ConfigurationReader.read(JSON.parse(configuration));
    } catch (cause) {
      return { faults: [{ path: "", problem: `is not JSON: ${(cause as Error).message}` }] };
    }
  },
};
