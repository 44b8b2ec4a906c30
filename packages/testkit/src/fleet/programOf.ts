import { fileURLToPath } from "node:url";

/** Where the program of each role is built, and of the command line and this test kit. */
const programs: Record<string, string> = {
  lathe: "control/cranetrack-control",
  anvil: "log-storage/cranetrack-storage",
  vise: "edge/cranetrack-edge",
  cranetrackctl: "cli/cranetrackctl",
  "cranetrack-lab": "testkit/cranetrack-lab",
};

/** The built program of a role (or tool), as a path that node can run. */
export function programOf(role: string): string {
  return fileURLToPath(import.meta.resolve(`@cranetrack/${programs[role] ?? role}.js`));
}
