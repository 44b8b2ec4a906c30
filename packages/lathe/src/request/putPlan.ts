import { Plans, type Plan } from "@cranetrack/chest/mark/plan.js";
import type { ClusterNode } from "@cranetrack/chest/process/clusterNode.js";
import { ApiReceipts, type ApiReceipt } from "@cranetrack/chest/request/apiReceipt.js";
import { BodyReader } from "@cranetrack/chest/request/bodyReader.js";
import { planCapacity } from "./planCapacity.js";

/** A whole plan under a rising mark: accepted once a majority of the lathes has it on disk. */
export async function putPlan(node: ClusterNode, body: Uint8Array): Promise<ApiReceipt> {
  if (body.length > Plans.mostBytes)
    return ApiReceipts.fault(413, "too-large", `a plan may have ${Plans.mostBytes} bytes`);
  const json = BodyReader.json(body);
  if ("receipt" in json) return json.receipt;
  const read = Plans.read(json.value);
  const problems = "faults" in read ? read.faults : planCapacity(node, read.plan);
  if (problems.length > 0 || "faults" in read)
    return ApiReceipts.fault(422, "invalid-plan", `the plan has ${problems.length} problem(s); nothing was changed`, {
      problems,
    });

  const { mark } = read.plan;
  const present = await node.store.read(["plan"]);
  if (present.outcome !== "done") return ApiReceipts.away("no majority of the lathes answers");
  const inForce = present.kvs![0];
  if (inForce !== undefined) {
    const markInForce = (JSON.parse(Buffer.from(inForce.value).toString()) as Plan).mark;
    if (markInForce === mark && Buffer.compare(inForce.value, body) === 0)
      return ApiReceipts.done({ receipt: "accepted", mark, revision: inForce.revision });
    if (markInForce >= mark) return stale(mark, markInForce);
  }
  const written = await node.store.txn({
    checks: [{ key: "plan", revision: inForce?.revision ?? 0 }],
    puts: [{ key: "plan", value: body }],
  });
  if (written.outcome === "done") return ApiReceipts.done({ receipt: "accepted", mark, revision: written.revision });
  if (written.outcome === "conflict") return settleRace(node, mark, body);
  if (written.outcome === "unsure")
    return ApiReceipts.unsure("the lathes did not answer in time; the same plan again settles it");
  return ApiReceipts.away("no majority of the lathes answers");
}

/** Another operator's plan came between: each mark has exactly one winner. */
async function settleRace(node: ClusterNode, mark: number, body: Uint8Array): Promise<ApiReceipt> {
  const present = await node.store.read(["plan"]);
  const inForce = present.kvs?.[0];
  if (present.outcome !== "done" || inForce === undefined) return ApiReceipts.unsure("another plan came between");
  const markInForce = (JSON.parse(Buffer.from(inForce.value).toString()) as Plan).mark;
  if (markInForce < mark) return putPlan(node, body);
  if (markInForce === mark && Buffer.compare(inForce.value, body) === 0)
    return ApiReceipts.done({ receipt: "accepted", mark, revision: inForce.revision });
  return stale(mark, markInForce);
}

function stale(mark: number, markInForce: number): ApiReceipt {
  const why =
    mark === markInForce
      ? `mark ${mark} is in force with other content`
      : `mark ${mark} is not above mark ${markInForce}, which is in force`;
  return ApiReceipts.fault(409, "stale-mark", why, { details: { markInForce } });
}
