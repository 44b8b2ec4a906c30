import { ApiReplies, type ApiReply } from "./apiReply.js";
import { Configurations } from "../configuration/configuration.js";
import type { ClusterNode } from "../runtime/clusterNode.js";
import { Rendezvous } from "../membership/rendezvous.js";
import { mayRepeat, type CallInit } from "../rpc/callKinds.js";
import type { BodyInit } from "../rpc/wire.js";
import { nodeRole } from "../membership/nodeRole.js";

export interface ApiCall {
  method: string;
  path: string;
  params: string[];
  body: Uint8Array;
  isForwarded: boolean;
}
export type Operation = (call: ApiCall) => Promise<ApiReply> | ApiReply;
interface Route {
  method: string;
  pattern: RegExp;
  run: Operation;
}

/**
 * Every node takes every call: what it cannot do itself it passes on, once, to a node that can.
 */
export class Router {
  static readonly maxBody = 1_200_000;
  /** Of a configuration; a little more than it may have, so that one beyond its bound is told what that is. */
  static readonly maxConfigurationBody = Configurations.maxBytes + 200_000;
  static readonly forwardTimeoutMs = 2500;

  readonly #node: ClusterNode;
  readonly #routes: Route[] = [];
  /** Which role does what this node does not. */
  readonly #elsewhere: Array<{ pattern: RegExp; role: string }> = [
    { pattern: /^\/v1\/(plan|machines|members)\b/, role: nodeRole.control },
    { pattern: /^\/v1\/sessions\//, role: nodeRole.edge },
  ];

  constructor(node: ClusterNode) {
    this.#node = node;
    node.rpc.serve("forward", async (pass): Promise<BodyInit> => {
      const reply = await this.run(pass.method, pass.path, pass.body, true);
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

  static encode(body: unknown): Uint8Array {
    return body instanceof Uint8Array ? body : Buffer.from(JSON.stringify(body));
  }

  on(method: string, pattern: RegExp, run: Operation): void {
    this.#routes.push({ method, pattern, run });
  }

  async run(method: string, path: string, body: Uint8Array, isForwarded = false): Promise<ApiReply> {
    const most = path === "/v1/plan" ? Router.maxConfigurationBody : Router.maxBody;
    if (body.length > most) return ApiReplies.fault(413, "too-large", `a body may have ${most} bytes`);
    const matching = this.#routes.filter((route) => route.pattern.test(path));
    const route = matching.find((one) => one.method === method);
    if (route !== undefined)
      return route.run({ method, path, body, isForwarded, params: Router.#params(route.pattern, path) });
    if (matching.length > 0) return ApiReplies.fault(405, "method-not-allowed", `${method} is not for ${path}`);
    const role = this.#elsewhere.find((one) => one.pattern.test(path))?.role;
    if (role === undefined || role === this.#node.parts.settings.role || isForwarded)
      return ApiReplies.fault(404, "unknown-path", `there is no ${path}`);
    return this.#passToRole(role, { method, path, body });
  }

  /** To a second node only where the first did not answer and the call may be repeated. */
  async #passToRole(role: string, call: Pick<ApiCall, "method" | "path" | "body">): Promise<ApiReply> {
    const { membership, rpc } = this.#node;
    const alive = membership.alive(role).map((member) => member.name);
    const ranked = Rendezvous.rank(rpc.name, alive);
    const heard = ranked.filter((name) => !rpc.isUnresponsive(name));
    for (const name of [...new Set([...heard, ...ranked])].slice(0, 2)) {
      const reply = await this.forwardTo(name, call.method, call.path, call.body);
      if (reply !== undefined) return reply;
      if (!mayRepeat({ case: "forward", value: call }))
        return ApiReplies.unknown(`${name} did not answer; the same call again settles it`);
    }
    return ApiReplies.unavailable(`no ${role} answers`);
  }

  async forwardTo(
    name: string,
    method: string,
    path: string,
    body: Uint8Array,
    timeoutMs = Router.forwardTimeoutMs,
  ): Promise<ApiReply | undefined> {
    const pass: CallInit = { case: "forward", value: { method, path, body } };
    const reply = await this.#node.rpc.call(name, pass, timeoutMs);
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
