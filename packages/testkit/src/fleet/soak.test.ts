import { mkdtempSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { test } from "node:test";
import { expect } from "earl";
import { Deployments } from "./deployments.js";
import { Fleet } from "./fleet.js";
import { Soak } from "./soak.js";

const seed = 11;
const seconds = 15;

test(
  "real processes under overlapping faults: no rule broken, no invariant violated, service recovers",
  { timeout: 180_000 },
  async () => {
    const deployment = Deployments.find("control");
    const names = Deployments.machines(deployment).map((machine) => machine.name);
    const fleet = new Fleet(deployment, mkdtempSync(join(tmpdir(), "cranetrack-soak-")), names);
    const soak = new Soak(fleet, seed);
    try {
      await fleet.start();
      await fleet.waitForShardLeaders();
      const report = await soak.run(seconds);
      expect(report.breaches).toEqual([]);
      // Enough faults, messages and configuration changes took place for the checks to mean something.
      expect(report.faults.length >= 3).toEqual(true);
      expect([report.received > report.accepted, report.passed > 0]).toEqual([true, true]);
      expect([report.changes > 0, report.reads > 0]).toEqual([true, true]);
    } finally {
      soak.halt();
      await fleet.stop();
    }
  },
);
