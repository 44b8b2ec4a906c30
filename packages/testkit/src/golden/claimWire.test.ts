import { test } from "node:test";
import { expect } from "earl";
import {
  decodeFrame,
  decodeStoredMessage,
  encodeFrame,
  encodeStoredMessage,
  frameSchema,
  storedSchemas,
} from "./adapter.js";
import { fromBase64, toBase64 } from "./wireFixtures.js";
import { fromNumbers, toNumbers, type NumberedMessage } from "./wireNumbers.js";

/** Claims of owners, by field numbers: node, lease, and claims of session, revision and whether it is confirmed. */
const claims: NumberedMessage = {
  1: "vise-1",
  2: "vise-1/7",
  3: [{ 1: "desk", 2: 41, 3: true }, { 1: "pen" }],
};
const frame: NumberedMessage = { 1: 5, 3: "vise-1", 4: "lathe-2", 5: "10.0.0.9:1", 30: { 8: claims } };
const frameBytes =
  "Wb1ZMgkAAAAAAAAUQBoGdmlzZS0xIgdsYXRoZS0yKgoxMC4wLjAuOTox8gEuQiwKBnZpc2UtMRIIdmlzZS0xLzcaEQoEZGVzaxEAAAAAAIBEQBgB" +
  "GgUKA3Blbg==";
const command: NumberedMessage = { 4: claims };
const commandBytes = "IiwKBnZpc2UtMRIIdmlzZS0xLzcaEQoEZGVzaxEAAAAAAIBEQBgBGgUKA3Blbg==";

/** Guards against a change of what travels and rests since claims of owners came to the golden files' messages. */
test("claims of owners keep their bytes, in a frame and in the store's log", () => {
  expect(toBase64(encodeFrame(fromNumbers(frameSchema, frame)))).toEqual(frameBytes);
  expect(toNumbers(frameSchema, decodeFrame(fromBase64(frameBytes))!)).toEqual(frame);
  const schema = storedSchemas["store command"]!;
  expect(toBase64(encodeStoredMessage(schema, fromNumbers(schema, command)))).toEqual(commandBytes);
  expect(toNumbers(schema, decodeStoredMessage(schema, fromBase64(commandBytes)))).toEqual(command);
});
