/** The golden files of the wire and the store, and how they are read. */
import { readFileSync } from "node:fs";
import { fileURLToPath } from "node:url";
import type { NumberedMessage } from "./wireNumbers.js";

/** A frame with all fields, and the same one as it goes from node to node directly, in its two lengths. */
export interface FrameFixture {
  expected: NumberedMessage;
  /** As it travels by way of another node, checksum first; base64 like all bytes here. */
  bytes: string;
  /** As it travels directly: field 6 is absent. */
  withoutHops: string;
  /** The direct frame behind another one of the same connection. */
  withoutEnvelope: string;
}

/** A message of a log or a snapshot. */
export interface MessageFixture {
  name: string;
  expected: NumberedMessage;
  bytes: string;
}

/** What `wire.json` holds. */
export interface WireFixtures {
  /** The revision of the program that wrote it. */
  madeBy: string;
  frames: FrameFixture[];
  stored: MessageFixture[];
}

/** Where a golden file of this name is. */
export function fixturePath(name: string): string {
  return fileURLToPath(new URL(`../../golden/${name}.json`, import.meta.url));
}

/** The golden file of this name. */
export function readFixtures(name: string): unknown {
  return JSON.parse(readFileSync(fixturePath(name), "utf8"));
}

export function toBase64(bytes: Uint8Array): string {
  return Buffer.from(bytes).toString("base64");
}

export function fromBase64(text: string): Uint8Array {
  return Uint8Array.from(Buffer.from(text, "base64"));
}
