import { test } from "node:test";
import { expect } from "earl";
import { PendingPublishes } from "./pendingPublishes.js";

test("a number that arrives again while it is pending shares the outcome, and is attempted anew later", async () => {
  const pending = new PendingPublishes<string>();
  const attempts: Array<(outcome: string) => void> = [];
  const attempt = (): Promise<string> => new Promise((resolve) => attempts.push(resolve));
  const outcomes = [1, 1, 2].map((number) => pending.share("notes/t1", number, attempt));
  outcomes.push(pending.share("notes/t2", 1, attempt));
  expect(attempts.length).toEqual(3);
  attempts.forEach((resolve, i) => resolve(`outcome ${i}`));
  expect(await Promise.all(outcomes)).toEqual(["outcome 0", "outcome 0", "outcome 1", "outcome 2"]);
  void pending.share("notes/t1", 1, attempt);
  expect(attempts.length).toEqual(4);
});
