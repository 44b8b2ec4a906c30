// Runs one case: a fleet, a record, an end after 110 s, and the exit code that the review asks for.
import { Fleet } from "./fleet.mjs";
import { Record } from "./record.mjs";

/**
 * `run` returns the ways in which the rule was broken; none where it held. The exit code is 1 or 0, or 2 where the case
 * could not run. With TROUBLE=0 the case is to leave the disruption out. Without `waits` it begins with the start.
 */
export async function runCase(recordPath, edgeZones, run, { waits = true } = {}) {
  const record = new Record(recordPath);
  const hasTrouble = process.env.TROUBLE !== "0";
  const fleet = new Fleet(record, edgeZones);
  const end = async (code, text) => {
    record.note("case", text);
    console.log(text);
    await fleet.stop();
    process.exit(code);
  };
  setTimeout(() => void end(2, "the case could not run: it took too long"), 110_000).unref();
  process.on("SIGTERM", () => void end(2, "the case was stopped"));
  process.on("SIGINT", () => void end(2, "the case was stopped"));
  record.note("case", hasTrouble ? "with the disruption" : "without the disruption");
  try {
    await fleet.start();
    if (waits) await fleet.ready(fleet.names("edge"));
    const broken = await run({ fleet, record, hasTrouble });
    if (broken.length > 0) await end(1, `the rule was broken: ${broken.join("; ")}`);
    else await end(0, "the rule held");
  } catch (cause) {
    await end(2, `the case could not run: ${cause.stack}`);
  }
}
