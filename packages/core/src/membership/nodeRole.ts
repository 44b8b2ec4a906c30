/**
 * The roles of nodes. The keys are the names in settings, on the command line and in the documentation. The values are
 * what gossip carries and nodes compare: they keep the words of earlier versions, because nodes of both versions run
 * side by side during an update.
 */
export const nodeRole = { control: "lathe", storage: "anvil", edge: "vise" } as const;

/** The name of a role in settings and messages. */
export type RoleName = keyof typeof nodeRole;
/** A role as it is gossiped and compared. */
export type NodeRole = (typeof nodeRole)[RoleName];

/** The name of a role that was gossiped; undefined for one that this version does not know. */
export function roleNameOf(role: string): RoleName | undefined {
  return (Object.keys(nodeRole) as RoleName[]).find((name) => nodeRole[name] === role);
}
