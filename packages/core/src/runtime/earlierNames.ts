/** Accepts the names of earlier versions in settings files and on the command line. */
import { roleNameOf } from "../membership/nodeRole.js";

/** The current name of each renamed key. */
const earlierKeys = new Map([
  ["lathes", "controlNodes"],
  ["holderLeaseMs", "shardLeaseMs"],
  ["mostLinks", "maxConnections"],
]);

/** Settings as they were given, under their current names. */
interface CurrentNames {
  readonly values: Readonly<Record<string, unknown>>;
  /** Maps a current key to the earlier name under which it was given. */
  readonly givenAs: ReadonlyMap<string, string>;
  /** A line for each earlier name that was given, with its current name. */
  readonly notices: readonly string[];
  /** A line for each key that was given under both names, as it is unclear which value is meant. */
  readonly problems: readonly string[];
}

/** Translates earlier keys and role values to their current names. Does not validate values. */
export function toCurrentNames(given: Readonly<Record<string, unknown>>): CurrentNames {
  const values: Record<string, unknown> = {};
  const givenAs = new Map<string, string>();
  const notices: string[] = [];
  const problems: string[] = [];
  for (const [key, value] of Object.entries(given)) {
    const currentKey = earlierKeys.get(key);
    if (currentKey === undefined) values[key] = value;
    else if (Object.hasOwn(given, currentKey))
      problems.push(`${key}: is the earlier name of ${currentKey}, and both are given; keep ${currentKey}`);
    else {
      values[currentKey] = value;
      givenAs.set(currentKey, key);
      notices.push(`setting ${key} is now called ${currentKey}; the earlier name is still accepted`);
    }
  }
  const givenRole = values["role"];
  const roleName = typeof givenRole === "string" ? roleNameOf(givenRole) : undefined;
  if (roleName !== undefined) {
    values["role"] = roleName;
    notices.push(`role ${String(givenRole)} is now called ${roleName}; the earlier name is still accepted`);
  }
  return { values, givenAs, notices, problems };
}
