/**
 * Wrote `packages/testkit/golden/store.json`, with the program of revision ca00b7a:
 * `node packages/testkit/dist/golden/makeStoreGolden.js && npx prettier --write packages/testkit/golden`.
 * Run it again only where the store grows, and only to add.
 */
import { mkdtempSync, readdirSync, readFileSync, rmSync, statSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { deflateRawSync } from "node:zlib";
import {
  encodePutOver,
  openConfigurationArchive,
  packingNumbers,
  packValue,
  storedCodecs,
  type StablePacked,
} from "./adapter.js";
import {
  baseRevision,
  configurationText,
  largeText,
  laterConfigurationText,
  valueInputs,
  type PackedFixture,
  type StoreFixtures,
  type ValueFixture,
} from "./storeFixtures.js";
import { fixturePath, toBase64 } from "./wireFixtures.js";

const value = Buffer.from(largeText("now"));
const base = { bytes: Buffer.from(largeText("before")), revision: baseRevision };

function valueFixtures(): ValueFixture[] {
  return valueInputs.map(([codec, input]) => {
    const bytes = storedCodecs[codec]!.encode(input);
    return { codec, input, bytes: toBase64(bytes), decoded: storedCodecs[codec]!.decode(bytes) };
  });
}

function packedFixtures(): PackedFixture[] {
  const forms: Record<string, StablePacked> = {
    "as it is": packValue(Buffer.from("small")),
    deflated: packValue(value),
    "another deflation": {
      packing: packingNumbers.deflated,
      baseRevision: 0,
      bytes: deflateRawSync(value, { level: 1 }),
    },
    difference: packValue(value, base),
    omitted: { packing: packingNumbers.omitted, baseRevision, bytes: new Uint8Array() },
  };
  return Object.entries(forms).map(([form, packed]) => ({ form, ...packed, bytes: toBase64(packed.bytes) }));
}

async function archiveFiles(): Promise<Record<string, string>> {
  const folder = mkdtempSync(join(tmpdir(), "cranetrack-golden-"));
  const archive = openConfigurationArchive(folder);
  await archive.put(41, configurationText);
  await archive.put(42, laterConfigurationText);
  const paths = (readdirSync(folder, { recursive: true }) as string[]).sort();
  const files = paths.filter((path) => statSync(join(folder, path)).isFile());
  const contents = files.map((path) => [path, toBase64(readFileSync(join(folder, path)))] as const);
  rmSync(folder, { recursive: true });
  return Object.fromEntries(contents);
}

const fixtures: StoreFixtures = {
  madeBy: "ca00b7a",
  values: valueFixtures(),
  packed: packedFixtures(),
  putOver: toBase64(encodePutOver("plan", value, base)),
  archive: await archiveFiles(),
};
writeFileSync(fixturePath("store"), `${JSON.stringify(fixtures, undefined, 1)}\n`);
