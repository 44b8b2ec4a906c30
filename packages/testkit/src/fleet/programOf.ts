import { fileURLToPath } from "node:url";

/** Built program of each role, of the command-line client and of this test kit, without its extension. */
const programs: Record<string, string> = {
  lathe: "control/cranetrack-control",
  anvil: "log-storage/cranetrack-storage",
  vise: "edge/cranetrack-edge",
  cranetrackctl: "cli/cranetrackctl",
  "cranetrack-lab": "testkit/cranetrack-lab",
};

/** The path of the built program of a role or tool, which Node.js can run. */
export function programOf(role: string): string {
  return fileURLToPath(import.meta.resolve(`@cranetrack/${programs[role] ?? role}.js`));
}
