/**
 * Wrote `packages/testkit/golden/wire.json`, with the program of revision ca00b7a:
 * `node packages/testkit/dist/golden/makeWireGolden.js && npx prettier --write packages/testkit/golden`.
 * Run it again only where the protocol grows, and only to add.
 */
import { writeFileSync } from "node:fs";
import { encodeFrame, encodeStoredMessage, frameSchema, storedSchemas, withoutEnvelope } from "./adapter.js";
import { fixturePath, toBase64, type FrameFixture, type MessageFixture, type WireFixtures } from "./wireFixtures.js";
import { fromNumbers, withoutField, type NumberedMessage } from "./wireNumbers.js";
import { sampleOf, samplesOf } from "./wireSamples.js";

function frameFixtures(): FrameFixture[] {
  const kinds = frameSchema.oneofs[0]!.fields;
  return kinds.flatMap((kind, index) =>
    samplesOf(kind.message!).map((body) => {
      const header = sampleOf(frameSchema, index);
      return frameFixture({ ...header, [kind.number]: body });
    }),
  );
}

function frameFixture(expected: NumberedMessage): FrameFixture {
  const carried = encodeFrame(fromNumbers(frameSchema, expected));
  const direct = withoutField(expected, 6);
  const bytes = encodeFrame(fromNumbers(frameSchema, direct));
  const short = withoutEnvelope(bytes);
  if (short === undefined) throw new Error("a frame has no envelope");
  return { expected, bytes: toBase64(carried), withoutHops: toBase64(bytes), withoutEnvelope: toBase64(short) };
}

function messageFixtures(): MessageFixture[] {
  return Object.entries(storedSchemas).flatMap(([name, schema]) =>
    samplesOf(schema).map((expected) => ({
      name,
      expected,
      bytes: toBase64(encodeStoredMessage(schema, fromNumbers(schema, expected))),
    })),
  );
}

const fixtures: WireFixtures = { madeBy: "ca00b7a", frames: frameFixtures(), stored: messageFixtures() };
writeFileSync(fixturePath("wire"), `${JSON.stringify(fixtures, undefined, 1)}\n`);
