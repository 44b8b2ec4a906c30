import { test } from "node:test";
import { expect } from "earl";
import { PrefixIndex } from "./prefixIndex.js";

const letters = ["", "a", "b", "a.", "b.", "ab"];
const prefixes = letters.flatMap((one) => letters.flatMap((two) => letters.map((three) => `${one}${two}${three}`)));

/** Reference for the index: scans all items; the first with the longest prefix counts. */
function longestByScan(items: readonly string[], text: string, maxLength: number): string | undefined {
  const fitting = items.filter((prefix) => text.startsWith(prefix) && prefix.length <= maxLength);
  return fitting.reduce<string | undefined>(
    (best, prefix) => (best === undefined || prefix.length > best.length ? prefix : best),
    undefined,
  );
}

test("the index finds what a scan of all prefixes finds, for every text and length", () => {
  for (let step = 1; step < 40; step += 1) {
    const items = prefixes.filter((_, i) => (i * 7 + step) % step === 0 || i % (step + 2) === 0);
    const index = new PrefixIndex(items, (prefix) => prefix);
    for (const text of prefixes.map((prefix) => `${prefix}b.a`)) {
      expect(index.longest(text)).toEqual(longestByScan(items, text, Infinity));
      expect(index.longest(text, text.length - 2)).toEqual(longestByScan(items, text, text.length - 2));
      const all = [...new Set(items.filter((prefix) => text.startsWith(prefix)))];
      expect([...index.all(text)]).toEqual(all.sort((a, b) => b.length - a.length));
    }
  }
});

test("of two items with one prefix the first counts; nothing is found where no prefix fits", () => {
  const items = [
    { prefix: "a.", name: "first" },
    { prefix: "a.", name: "second" },
  ];
  const index = new PrefixIndex(items, ({ prefix }) => prefix);
  expect([index.longest("a.b")?.name, index.get("a.")?.name]).toEqual(["first", "first"]);
  expect([index.longest("b.a"), index.longest("a"), index.get("a")]).toEqual([undefined, undefined, undefined]);
  expect(new PrefixIndex<string>([], (prefix) => prefix).longest("a")).toEqual(undefined);
});
