import { ApiReplies, type ApiReply } from "./apiReply.js";
import { Configurations } from "../configuration/configuration.js";
import type { ClusterNode } from "../runtime/clusterNode.js";
import { Rendezvous } from "../membership/rendezvous.js";
import { mayRepeat, type CallInit } from "../rpc/callKinds.js";
import type { BodyInit } from "../rpc/wire.js";
import { nodeRole } from "../membership/nodeRole.js";

/** An HTTP call; `params` are the decoded capture groups of the route pattern. */
export interface ApiCall {
  method: string;
  path: string;
  params: string[];
  body: Uint8Array;
  /** Another node forwarded the call: it is not forwarded again. */
  isForwarded: boolean;
}
/** Executes the calls of a route. */
export type Operation = (call: ApiCall) => Promise<ApiReply> | ApiReply;
interface Route {
  method: string;
  pattern: RegExp;
  run: Operation;
}

/** Every node accepts every call: a call that it cannot execute itself is forwarded, once, to a node that can. */
export class Router {
  /** Maximum length of a request body in bytes. */
  static readonly maxBodyBytes = 1_200_000;
  /**
   * Maximum length of a request body with a configuration, in bytes. A little above the limit of a configuration, so
   * that a configuration that is too large gets an error that states the limit.
   */
  static readonly maxConfigurationBodyBytes = Configurations.maxBytes + 200_000;
  /** Milliseconds that a forwarded call may take. */
  static readonly forwardTimeoutMs = 2500;

  readonly #node: ClusterNode;
  readonly #routes: Route[] = [];
  /** The role that serves paths for which this node may have no route. */
  readonly #servingRoles: Array<{ pattern: RegExp; role: string }> = [
    { pattern: /^\/v1\/(plan|machines|members)\b/, role: nodeRole.control },
    { pattern: /^\/v1\/sessions\//, role: nodeRole.edge },
  ];

  constructor(node: ClusterNode) {
    this.#node = node;
    node.rpc.serve("forward", async (request): Promise<BodyInit> => {
      const reply = await this.run(request.method, request.path, request.body, true);
      return {
        case: "forwardReply",
        value: {
          status: reply.status,
          body: Router.encode(reply.body),
          retryAfterSeconds: reply.retryAfterSeconds ?? 0,
        },
      };
    });
  }

  /** Encodes a reply body; bytes are passed through. */
  static encode(body: unknown): Uint8Array {
    return body instanceof Uint8Array ? body : Buffer.from(JSON.stringify(body));
  }

  /** Adds a route for paths that match `pattern`. */
  on(method: string, pattern: RegExp, run: Operation): void {
    this.#routes.push({ method, pattern, run });
  }

  /** Executes a call on this node, or forwards it if another role serves its path. */
  async run(method: string, path: string, body: Uint8Array, isForwarded = false): Promise<ApiReply> {
    const maxBytes = path === "/v1/plan" ? Router.maxConfigurationBodyBytes : Router.maxBodyBytes;
    if (body.length > maxBytes) return ApiReplies.fault(413, "too-large", `the body is larger than ${maxBytes} bytes`);
    const matching = this.#routes.filter((route) => route.pattern.test(path));
    const route = matching.find((candidate) => candidate.method === method);
    if (route !== undefined)
      return route.run({ method, path, body, isForwarded, params: Router.#params(route.pattern, path) });
    if (matching.length > 0) return ApiReplies.fault(405, "method-not-allowed", `${method} is not allowed for ${path}`);
    const role = this.#servingRoles.find((entry) => entry.pattern.test(path))?.role;
    if (role === undefined || role === this.#node.parts.settings.role || isForwarded)
      return ApiReplies.fault(404, "unknown-path", `unknown path ${path}`);
    return this.#forwardToRole(role, { method, path, body });
  }

  /** Tries a second node only if the first did not answer and the call may be repeated. */
  async #forwardToRole(role: string, call: Pick<ApiCall, "method" | "path" | "body">): Promise<ApiReply> {
    const { membership, rpc } = this.#node;
    const alive = membership.alive(role).map((member) => member.name);
    const ranked = Rendezvous.rank(rpc.name, alive);
    const responsive = ranked.filter((name) => !rpc.isUnresponsive(name));
    for (const name of [...new Set([...responsive, ...ranked])].slice(0, 2)) {
      const reply = await this.forwardTo(name, call.method, call.path, call.body);
      if (reply !== undefined) return reply;
      if (!mayRepeat({ case: "forward", value: call }))
        return ApiReplies.unknown(`${name} did not answer; retry the same call to learn its outcome`);
    }
    return ApiReplies.unavailable(`no ${role} answers`);
  }

  /** Forwards a call to a node; undefined if the node does not answer within `timeoutMs`. */
  async forwardTo(
    name: string,
    method: string,
    path: string,
    body: Uint8Array,
    timeoutMs = Router.forwardTimeoutMs,
  ): Promise<ApiReply | undefined> {
    const request: CallInit = { case: "forward", value: { method, path, body } };
    const reply = await this.#node.rpc.call(name, request, timeoutMs);
    if (reply?.case !== "forwardReply") return undefined;
    const { status, retryAfterSeconds } = reply.value;
    return { status, body: reply.value.body, retryAfterSeconds: retryAfterSeconds > 0 ? retryAfterSeconds : undefined };
  }

  static #params(pattern: RegExp, path: string): string[] {
    return (pattern.exec(path) ?? []).slice(1).map((part) => {
      try {
        return decodeURIComponent(part ?? "");
      } catch {
        return part ?? "";
      }
    });
  }
}
