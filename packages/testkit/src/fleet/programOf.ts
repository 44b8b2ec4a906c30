import { fileURLToPath } from "node:url";

/** The package that carries each role's program; the programs keep their names. */
const packages: Record<string, string> = {
  lathe: "control",
  anvil: "log-storage",
  vise: "edge",
  spanner: "cli",
  jig: "testkit",
};

/** The built program of a role, as a path that node can run. */
export function programOf(role: string): string {
  return fileURLToPath(import.meta.resolve(`@cranetrack/${packages[role] ?? role}/${role}.js`));
}
