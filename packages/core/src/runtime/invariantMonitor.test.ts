import { test } from "node:test";
import { expect } from "earl";
import { ConfigurationVerifier } from "../configuration/configurationVerifier.js";
import { InvariantMonitor } from "./invariantMonitor.js";

interface Logged {
  text: string;
  context: object | undefined;
}

function monitored(): { monitor: InvariantMonitor; logged: Logged[] } {
  const logged: Logged[] = [];
  const monitor = new InvariantMonitor({ fault: (text, context) => void logged.push({ text, context }) });
  return { monitor, logged };
}

test("violations are counted by name, and the first ones are logged with their context", () => {
  const { monitor, logged } = monitored();
  for (let i = 0; i < InvariantMonitor.maxLogged + 5; i += 1) monitor.violated("publisherOrder", { number: i });
  monitor.violated("committedLog", { index: 7 });
  expect(monitor.countOf("publisherOrder")).toEqual(InvariantMonitor.maxLogged + 5);
  expect(monitor.total).toEqual(InvariantMonitor.maxLogged + 6);
  expect(monitor.counts()).toEqual({
    publisherOrder: InvariantMonitor.maxLogged + 5,
    configurationRead: 0,
    configurationVersion: 0,
    committedLog: 1,
    subscriptionEnd: 0,
  });
  expect(logged.length).toEqual(InvariantMonitor.maxLogged);
  expect(logged[0]).toEqual({ text: InvariantMonitor.logText, context: { invariant: "publisherOrder", number: 0 } });
});

test("a read older than the revision seen when it began is rejected", () => {
  const { monitor } = monitored();
  let followed = 0;
  const verifier = new ConfigurationVerifier(monitor, () => followed);
  expect(verifier.isCurrent(verifier.minRevision, 0)).toEqual(true);
  const { minRevision: bound } = verifier;
  verifier.recordSeen(12);
  // The read began before revision 12 was seen, so its result may be older.
  expect([verifier.isCurrent(bound, 9), verifier.minRevision]).toEqual([true, 12]);
  expect(verifier.isCurrent(verifier.minRevision, 11)).toEqual(false);
  followed = 20;
  expect(verifier.isCurrent(verifier.minRevision, 19)).toEqual(false);
  expect(verifier.isCurrent(verifier.minRevision, 20)).toEqual(true);
  expect(monitor.countOf("configurationRead")).toEqual(2);
});
