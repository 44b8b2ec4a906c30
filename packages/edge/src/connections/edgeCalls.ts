import { type } from "arktype";
import { Configurations } from "@cranetrack/core/configuration/configuration.js";
import type { ApiCall, Router } from "@cranetrack/core/http/router.js";
import { ApiReplies, type ApiReply } from "@cranetrack/core/http/apiReply.js";
import { BodyReader } from "@cranetrack/core/http/bodyReader.js";
import type { ClientConnection } from "./clientConnection.js";
import { openConnection } from "./openConnection.js";
import { publishCall } from "../publishing/publishCall.js";
import { readOwner } from "../sessions/readOwner.js";
import { subscribeTopics } from "../subscriptions/subscribeTopics.js";
import { unsubscribeTopic } from "../subscriptions/unsubscribeTopic.js";
import type { Session } from "../sessions/session.js";
import type { EdgeParts } from "../edgeParts.js";

const subscriptionsBody = type({ "+": "reject", topic: "string", "after?": "string" });

/** The routes of an edge's HTTP API. Not registered on an edge whose clients speak another protocol. */
export class EdgeCalls {
  /** Path of a connection request; the first group is the session's name. */
  static readonly connectionPath = /^\/v1\/sessions\/([^/]+)\/link$/;

  readonly #edge: EdgeParts;

  constructor(edge: EdgeParts, router: Router) {
    this.#edge = edge;
    router.on("POST", /^\/v1\/sessions\/([^/]+)\/messages$/, (call) => publishCall(edge, call));
    router.on("POST", /^\/v1\/sessions\/([^/]+)\/subscriptions$/, (call) =>
      this.#runAtOwner(call, (session) => this.#subscribe(session, call.body)),
    );
    router.on("DELETE", /^\/v1\/sessions\/([^/]+)\/subscriptions\/(.+)$/, (call) =>
      this.#runAtOwner(call, (session) => unsubscribeTopic(edge, session, call.params[1]!)),
    );
  }

  /**
   * `POST /v1/sessions/ID/link`. Returns undefined once the connection is open, otherwise the reply that refuses it.
   */
  connection(id: string, body: Uint8Array, open: () => ClientConnection): Promise<ApiReply | undefined> {
    return openConnection(this.#edge, id, body, open);
  }

  async #subscribe(session: Session, body: Uint8Array): Promise<ApiReply> {
    const parsed = BodyReader.read(body, subscriptionsBody);
    if ("reply" in parsed) return parsed.reply;
    if (!Configurations.isTopic(parsed.value.topic))
      return ApiReplies.fault(400, "malformed", "a topic is space/name", {
        problems: [{ path: "topic", problem: "must be space/name" }],
      });
    if (session.connection === undefined)
      return ApiReplies.fault(409, "no-link", "this session has no link; open one first", { retryAfterSeconds: 0.3 });
    const faults = await subscribeTopics(this.#edge, session, session.connection, [parsed.value]);
    const fault = faults?.[0];
    if (faults === undefined) return ApiReplies.unavailable("the subscriptions could not be kept", 0.5);
    if (fault === undefined) return ApiReplies.done({ receipt: "subscribed", topic: parsed.value.topic });
    if (fault.retryAfterSeconds !== undefined) return ApiReplies.unavailable(fault.reason, fault.retryAfterSeconds);
    const status = fault.code === "unknown-topic" ? 404 : fault.code === "malformed-place" ? 400 : 409;
    return ApiReplies.fault(status, fault.code, fault.reason);
  }

  /** Runs the handler if this node owns the session; otherwise forwards the call to the owner, at most once. */
  async #runAtOwner(call: ApiCall, handler: (session: Session) => Promise<ApiReply>): Promise<ApiReply> {
    const session = this.#edge.sessions.find(call.params[0]!);
    if (session !== undefined) return handler(session);
    const owner = call.isForwarded ? undefined : (await readOwner(this.#edge.node.store, call.params[0]!))?.owner;
    if (owner === undefined || owner.node === "" || owner.node === this.#edge.node.rpc.name)
      return ApiReplies.fault(409, "no-link", "this session has no link; open one first", { retryAfterSeconds: 0.3 });
    return (
      (await this.#edge.router.forwardTo(owner.node, call.method, call.path, call.body)) ??
      ApiReplies.unknown("the session's owner did not answer")
    );
  }
}
