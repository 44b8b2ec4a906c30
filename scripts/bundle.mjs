// Bundles the programs of the users' machines under target/, straight from the sources.
import { rmSync } from "node:fs";
import { join } from "node:path";
import { build } from "esbuild";

const root = join(import.meta.dirname, "..");
const ownSources = {
  name: "own-sources",
  setup: ({ onResolve }) =>
    onResolve({ filter: /^@cranetrack\// }, ({ path }) => {
      const [, name, ...rest] = path.split("/");
      return { path: join(root, "packages", name, "src", ...rest).replace(/\.js$/, ".ts") };
    }),
};

rmSync(join(root, "target"), { recursive: true, force: true });
await build({
  absWorkingDir: root,
  entryPoints: { edge: "platform/src/edge.ts", storage: "platform/src/storage.ts" },
  outdir: "target",
  bundle: true,
  splitting: true,
  format: "esm",
  platform: "node",
  target: "node20",
  external: ["lmdb"],
  plugins: [ownSources],
  // CommonJS libraries ask for the runtime's modules by `require`.
  banner: { js: 'import { createRequire as $r } from "node:module"; const require = $r(import.meta.url);' },
  logLevel: "warning",
});
