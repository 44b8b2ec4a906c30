import { type } from "arktype";
import { Plans } from "@cranetrack/core/mark/plan.js";
import type { ApiCall, Router } from "@cranetrack/core/process/router.js";
import { ApiReceipts, type ApiReceipt } from "@cranetrack/core/request/apiReceipt.js";
import { BodyReader } from "@cranetrack/core/request/bodyReader.js";
import type { ClientLink } from "../link/clientLink.js";
import { enrolLink } from "../request/enrolLink.js";
import { publishCall } from "../request/publishCall.js";
import { readOwner } from "../request/readOwner.js";
import { subscribeTopics } from "../request/subscribeTopics.js";
import { unsubscribeTopic } from "../request/unsubscribeTopic.js";
import type { Session } from "./session.js";
import type { ViseParts } from "./viseParts.js";

const subscriptionsBody = type({ "+": "reject", topic: "string", "after?": "string" });

/** The calls of an edge's HTTP interface. An edge with fronts of another kind does without them. */
export class ViseCalls {
  static readonly linkPath = /^\/v1\/sessions\/([^/]+)\/link$/;

  readonly #vise: ViseParts;

  constructor(vise: ViseParts, router: Router) {
    this.#vise = vise;
    router.on("POST", /^\/v1\/sessions\/([^/]+)\/messages$/, (call) => publishCall(vise, call));
    router.on("POST", /^\/v1\/sessions\/([^/]+)\/subscriptions$/, (call) =>
      this.#onOwner(call, (session) => this.#subscribe(session, call.body)),
    );
    router.on("DELETE", /^\/v1\/sessions\/([^/]+)\/subscriptions\/(.+)$/, (call) =>
      this.#onOwner(call, (session) => unsubscribeTopic(vise, session, call.params[1]!)),
    );
  }

  link(id: string, body: Uint8Array, open: () => ClientLink): Promise<ApiReceipt | undefined> {
    return enrolLink(this.#vise, id, body, open);
  }

  async #subscribe(session: Session, body: Uint8Array): Promise<ApiReceipt> {
    const read = BodyReader.read(body, subscriptionsBody);
    if ("receipt" in read) return read.receipt;
    if (!Plans.isTopic(read.value.topic))
      return ApiReceipts.fault(400, "malformed", "a topic is space/name", {
        problems: [{ path: "topic", problem: "must be space/name" }],
      });
    if (session.link === undefined)
      return ApiReceipts.fault(409, "no-link", "this session has no link; open one first", { comeBack: 0.3 });
    const faults = await subscribeTopics(this.#vise, session, session.link, [read.value]);
    const fault = faults?.[0];
    if (faults === undefined) return ApiReceipts.away("the subscriptions could not be kept", 0.5);
    if (fault === undefined) return ApiReceipts.done({ receipt: "subscribed", topic: read.value.topic });
    if (fault.comeBack !== undefined) return ApiReceipts.away(fault.reason, fault.comeBack);
    const status = fault.code === "unknown-topic" ? 404 : fault.code === "malformed-place" ? 400 : 409;
    return ApiReceipts.fault(status, fault.code, fault.reason);
  }

  async #onOwner(call: ApiCall, act: (session: Session) => Promise<ApiReceipt>): Promise<ApiReceipt> {
    const session = this.#vise.sessions.find(call.params[0]!);
    if (session !== undefined) return act(session);
    const owner = call.isPassed ? undefined : (await readOwner(this.#vise.node.store, call.params[0]!))?.owner;
    if (owner === undefined || owner.node === "" || owner.node === this.#vise.node.exchange.name)
      return ApiReceipts.fault(409, "no-link", "this session has no link; open one first", { comeBack: 0.3 });
    return (
      (await this.#vise.router.passTo(owner.node, call.method, call.path, call.body)) ??
      ApiReceipts.unsure("the session's owner did not answer")
    );
  }
}
