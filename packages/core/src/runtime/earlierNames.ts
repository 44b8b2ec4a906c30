/** Names of earlier versions in settings files and on the command line, which are still taken. */
import { roleNameOf } from "../membership/nodeRole.js";

/** Each earlier key with the one that took its place. */
const earlierKeys = new Map([
  ["lathes", "controlNodes"],
  ["holderLeaseMs", "shardLeaseMs"],
  ["mostLinks", "maxConnections"],
]);

/** Settings as they were given, in today's names. */
interface StandardNames {
  readonly values: Readonly<Record<string, unknown>>;
  /** The key that was given for each standard one that was given by its earlier name. */
  readonly givenAs: ReadonlyMap<string, string>;
  /** A line for each earlier name that was given; it names the one to write instead. */
  readonly notices: readonly string[];
  /** A line for each key that was given by both names: which of the two is meant can't be known. */
  readonly problems: readonly string[];
}

/** Puts earlier keys and role values in today's words. What a value has to be is not looked at here. */
export function toStandardNames(given: Readonly<Record<string, unknown>>): StandardNames {
  const values: Record<string, unknown> = {};
  const givenAs = new Map<string, string>();
  const notices: string[] = [];
  const problems: string[] = [];
  for (const [key, value] of Object.entries(given)) {
    const standard = earlierKeys.get(key);
    if (standard === undefined) values[key] = value;
    else if (Object.hasOwn(given, standard))
      problems.push(`${key}: is the earlier name of ${standard}, and both are given; keep ${standard}`);
    else {
      values[standard] = value;
      givenAs.set(standard, key);
      notices.push(`setting ${key} is now called ${standard}; the earlier name is still taken`);
    }
  }
  const role = values["role"];
  const roleName = typeof role === "string" ? roleNameOf(role) : undefined;
  if (roleName !== undefined) {
    values["role"] = roleName;
    notices.push(`role ${String(role)} is now called ${roleName}; the earlier name is still taken`);
  }
  return { values, givenAs, notices, problems };
}
