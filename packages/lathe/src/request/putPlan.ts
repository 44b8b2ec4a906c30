import { Plans, type Plan, type PlanFault } from "@cranetrack/chest/mark/plan.js";
import { PlanKey } from "@cranetrack/chest/mark/planKey.js";
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
  if (problems.length > 0 || "faults" in read) return invalid(problems);

  const { mark } = read.plan;
  const present = await node.store.read([PlanKey.name]);
  if (present.outcome !== "done") return ApiReceipts.away("no majority of the lathes answers");
  const inForce = present.kvs![0];
  if (inForce !== undefined) {
    const markInForce = PlanKey.markOf(inForce.value);
    if (markInForce === mark && Buffer.compare(inForce.value, body) === 0)
      return ApiReceipts.done({ receipt: "accepted", mark, revision: inForce.revision });
    if (markInForce >= mark) return stale(mark, markInForce);
    const turned = turnedOrders(inForce.value, read.plan);
    if (turned.length > 0) return invalid(turned);
  }
  const written = await node.store.txn({
    checks: [{ key: PlanKey.name, revision: inForce?.revision ?? 0 }],
    puts: [{ key: PlanKey.name, value: body }],
  });
  if (written.outcome === "done") return ApiReceipts.done({ receipt: "accepted", mark, revision: written.revision });
  if (written.outcome === "conflict") return settleRace(node, mark, body);
  if (written.outcome === "unsure")
    return ApiReceipts.unsure("the lathes did not answer in time; the same plan again settles it");
  return ApiReceipts.away("no majority of the lathes answers");
}

/** Another operator's plan came between: each mark has exactly one winner. */
async function settleRace(node: ClusterNode, mark: number, body: Uint8Array): Promise<ApiReceipt> {
  const present = await node.store.read([PlanKey.name]);
  const inForce = present.kvs?.[0];
  if (present.outcome !== "done" || inForce === undefined) return ApiReceipts.unsure("another plan came between");
  const markInForce = PlanKey.markOf(inForce.value);
  if (markInForce < mark) return putPlan(node, body);
  if (markInForce === mark && Buffer.compare(inForce.value, body) === 0)
    return ApiReceipts.done({ receipt: "accepted", mark, revision: inForce.revision });
  return stale(mark, markInForce);
}

/** A space has one order for its whole life: where its messages go follows from it. */
function turnedOrders(inForce: Uint8Array, plan: Plan): PlanFault[] {
  const read = Plans.parse(Buffer.from(inForce).toString());
  if ("faults" in read) return [];
  return plan.spaces.flatMap(({ name, program }, i) => {
    const order = Plans.orderOf(read.plan, name);
    if (order === undefined || order === program[0]!.owe.order) return [];
    const problem = `space ${name} keeps order ${order} while it lives; remove the space and make it again`;
    return [{ path: `spaces.${i}.program.0.owe.order`, problem }];
  });
}

function invalid(problems: PlanFault[]): ApiReceipt {
  const message = `the plan has ${problems.length} problem(s); nothing was changed`;
  return ApiReceipts.fault(422, "invalid-plan", message, { problems });
}

function stale(mark: number, markInForce: number): ApiReceipt {
  const why =
    mark === markInForce
      ? `mark ${mark} is in force with other content`
      : `mark ${mark} is not above mark ${markInForce}, which is in force`;
  return ApiReceipts.fault(409, "stale-mark", why, { details: { markInForce } });
}
