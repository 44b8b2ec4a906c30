// Every relative link of the pages names a file, and a heading of it, that is there.
import assert from "node:assert/strict";
import { existsSync, readFileSync, readdirSync } from "node:fs";
import { dirname, join, relative, resolve } from "node:path";
import { describe, it } from "node:test";

const root = resolve(import.meta.dirname, "../..");
const pages = ["README.md", "CHANGELOG.md"].concat(
  readdirSync(join(root, "docs"), { recursive: true, encoding: "utf8" })
    .filter((name) => name.endsWith(".md"))
    .map((name) => join("docs", name)),
);

/** The anchors of a page's headings, as the usual renderers make them. */
function anchorsOf(text) {
  const headings = text.match(/^#{1,6} .*$/gm) ?? [];
  return headings.map((heading) =>
    heading
      .replace(/^#+ /, "")
      .replace(/[`*]/g, "")
      .toLowerCase()
      .replace(/[^\p{L}\p{N} _-]/gu, "")
      .trim()
      .replaceAll(" ", "-"),
  );
}

/** Relative links of a page, without those in code. */
function linksOf(text) {
  const prose = text.replace(/^```[\s\S]*?^```/gm, "").replace(/`[^`\n]*`/g, "");
  return [...prose.matchAll(/\]\(([^)\s]+)\)/g)].map(([, link]) => link).filter((link) => !/^[a-z]+:/.test(link));
}

function problemOf(page, link) {
  const [path, anchor] = link.split("#");
  const target = path === "" ? join(root, page) : resolve(root, dirname(page), path);
  if (!existsSync(target)) return `${page}: ${link} names no file`;
  if (anchor === undefined || !target.endsWith(".md")) return undefined;
  const isThere = anchorsOf(readFileSync(target, "utf8")).includes(anchor);
  return isThere ? undefined : `${page}: ${link} names no heading of ${relative(root, target)}`;
}

describe("the pages", () => {
  it("have links that lead somewhere", () => {
    const links = pages.flatMap((page) => linksOf(readFileSync(join(root, page), "utf8")).map((link) => [page, link]));
    assert.ok(links.length > 50, `only ${links.length} links were found`);
    assert.deepEqual(
      links.map(([page, link]) => problemOf(page, link)).filter((problem) => problem !== undefined),
      [],
    );
  });
});
