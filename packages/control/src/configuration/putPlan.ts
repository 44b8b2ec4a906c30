import type { Kv } from "@cranetrack/core/gen/cranetrack_pb.js";
import { DocumentKey } from "@cranetrack/core/keys/documentKey.js";
import { Plans, type Plan, type PlanFault } from "@cranetrack/core/configuration/plan.js";
import { PlanKey } from "@cranetrack/core/keys/configurationKey.js";
import type { ClusterNode } from "@cranetrack/core/runtime/clusterNode.js";
import { ApiReplies, type ApiReply } from "@cranetrack/core/http/apiReply.js";
import { JsonBody } from "@cranetrack/core/http/jsonBody.js";
import { planCapacity } from "./planCapacity.js";

interface InForce {
  plan: Kv | undefined;
  document: Kv | undefined;
}

/**
 * A whole plan under a rising mark, with the operators' own document about it: accepted once a majority of the
 * lathes has both on disk. A plan without a document leaves none.
 */
export async function putPlan(node: ClusterNode, body: Uint8Array, document?: Uint8Array): Promise<ApiReply> {
  if (Math.max(body.length, document?.length ?? 0) > Plans.mostBytes)
    return ApiReplies.fault(413, "too-large", `a plan and its document may have ${Plans.mostBytes} bytes each`);
  const json = JsonBody.read(body);
  if ("receipt" in json) return json.receipt;
  const { PlanSchema } = await import("@cranetrack/core/configuration/planSchema.js");
  const read = PlanSchema.read(json.value);
  if ("faults" in read) return invalid(read.faults);

  const { mark } = read.plan;
  // Whoever can't read the store may know too few machines: what the fleet lacks is judged after that.
  const inForce = await readInForce(node);
  if (inForce === undefined) return ApiReplies.away("no majority of the lathes answers");
  const lacking = planCapacity(node, read.plan);
  if (lacking.length > 0) return invalid(lacking);
  if (inForce.plan !== undefined) {
    const markInForce = PlanKey.markOf(inForce.plan.value);
    if (isSame(inForce, body, document))
      return ApiReplies.done({ receipt: "accepted", mark, revision: inForce.plan.revision });
    if (markInForce >= mark) return stale(mark, markInForce);
    const turned = turnedOrders(inForce.plan.value, read.plan);
    if (turned.length > 0) return invalid(turned);
  }
  const written = await node.store.txn({
    checks: [{ key: PlanKey.name, revision: inForce.plan?.revision ?? 0 }],
    puts: [
      { key: PlanKey.name, value: body },
      ...(document === undefined ? [] : [{ key: DocumentKey.name, value: document }]),
    ],
    deletes: document === undefined ? [DocumentKey.name] : [],
  });
  if (written.outcome === "done") return ApiReplies.done({ receipt: "accepted", mark, revision: written.revision });
  if (written.outcome === "conflict") return settleRace(node, { mark, body, document });
  if (written.outcome === "unsure")
    return ApiReplies.unsure("the lathes did not answer in time; the same plan again settles it");
  return ApiReplies.away("no majority of the lathes answers");
}

async function readInForce(node: ClusterNode): Promise<InForce | undefined> {
  const present = await node.store.read([PlanKey.name, DocumentKey.name]);
  if (present.outcome !== "done") return undefined;
  const find = (key: string): Kv | undefined => present.kvs?.find((kv) => kv.key === key);
  return { plan: find(PlanKey.name), document: find(DocumentKey.name) };
}

/** Whoever says nothing of a document asks for the plan alone. */
function isSame(inForce: InForce, body: Uint8Array, document: Uint8Array | undefined): boolean {
  const isKept = (kv: Kv | undefined, bytes: Uint8Array): boolean =>
    kv !== undefined && Buffer.compare(kv.value, bytes) === 0;
  return isKept(inForce.plan, body) && (document === undefined || isKept(inForce.document, document));
}

/** Another operator's plan came between: each mark has exactly one winner. */
async function settleRace(
  node: ClusterNode,
  { mark, body, document }: { mark: number; body: Uint8Array; document: Uint8Array | undefined },
): Promise<ApiReply> {
  const inForce = await readInForce(node);
  if (inForce?.plan === undefined) return ApiReplies.unsure("another plan came between");
  const markInForce = PlanKey.markOf(inForce.plan.value);
  if (markInForce < mark) return putPlan(node, body, document);
  if (isSame(inForce, body, document))
    return ApiReplies.done({ receipt: "accepted", mark, revision: inForce.plan.revision });
  return stale(mark, markInForce);
}

/** A space is one stream, or a stream a topic, for its whole life: where its messages go follows from it. */
function turnedOrders(inForce: Uint8Array, plan: Plan): PlanFault[] {
  const before = new Map(PlanKey.outline(inForce)?.spaces.map((space) => [space.prefix, space]));
  return plan.spaces.flatMap((space, i) => {
    const earlier = before.get(Plans.prefixOf(space));
    const isWhole = space.program[0]!.owe.order === "space";
    if (earlier === undefined || earlier.isWhole === isWhole) return [];
    const order = earlier.isWhole ? "space" : "sender or topic";
    const problem = `space ${space.name} keeps order ${order} while it lives; remove the space and make it again`;
    return [{ path: `spaces.${i}.program.0.owe.order`, problem }];
  });
}

function invalid(problems: PlanFault[]): ApiReply {
  const message = `the plan has ${problems.length} problem(s); nothing was changed`;
  return ApiReplies.fault(422, "invalid-plan", message, { problems });
}

function stale(mark: number, markInForce: number): ApiReply {
  const why =
    mark === markInForce
      ? `mark ${mark} is in force with other content`
      : `mark ${mark} is not above mark ${markInForce}, which is in force`;
  return ApiReplies.fault(409, "stale-mark", why, { details: { markInForce } });
}
