import type { Sabotage } from "./sabotages.js";

const sim = "testkit/dist/sim";
const endpoint = "core/dist/rpc/rpcEndpoint.js";
const endpointTest = "core/dist/rpc/rpcEndpoint.test.js";

/** The guards around calls: whose reply settles what, and what may run or be sent twice. */
export const callSabotages: readonly Sabotage[] = [
  {
    name: "a reply to an earlier life of the caller settles a call",
    file: endpoint,
    find: "if (frame.caller !== this.#life)",
    put: "if (false)",
    test: endpointTest,
  },
  {
    name: "a reply of whoever was not asked settles a call",
    file: endpoint,
    find: "else if (waiting.to !== frame.from || frame.to !== this.name)",
    put: "else if (frame.to !== this.name)",
    test: endpointTest,
  },
  {
    name: "a reply to nobody by name settles a call",
    file: endpoint,
    find: "else if (waiting.to !== frame.from || frame.to !== this.name)",
    put: "else if (waiting.to !== frame.from)",
    test: endpointTest,
  },
  {
    name: "a reply of any kind settles a call",
    file: endpoint,
    find: "else if (!isReplyTo(waiting.body.case, frame.body.case))",
    put: "else if (false)",
    test: endpointTest,
  },
  {
    name: "a call that may not be repeated runs whenever its frame comes",
    file: endpoint,
    find: "if (this.#begun.begin(frame.from, frame.caller, frame.id))",
    put: "if (true)",
    test: endpointTest,
  },
  {
    name: "numbers of calls that are forgotten count as new",
    file: "core/dist/rpc/servedCalls.js",
    find: "number <= life.floor || ",
    put: "",
    test: endpointTest,
  },
  {
    name: "a call that names no life runs in any",
    file: endpoint,
    find: "if (frame.id !== 0 && frame.callee !== this.#life)",
    put: "if (frame.callee !== 0 && frame.callee !== this.#life)",
    test: endpointTest,
  },
  {
    name: "a call runs in a later life of the asked process",
    file: endpoint,
    find: "if (frame.id !== 0 && frame.callee !== this.#life)",
    put: "if (frame.callee === 0)",
    test: endpointTest,
  },
  {
    name: "a call that another life may have carried out is sent again",
    file: endpoint,
    find: "if (waiting.callee !== 0 || life === 0)",
    put: "if (life === 0)",
    test: endpointTest,
  },
  {
    name: "a reply of any life of the asked process settles a call",
    file: endpoint,
    find: "else if (waiting.callee !== 0 && waiting.callee !== frame.callee)",
    put: "else if (false)",
    test: endpointTest,
  },
  {
    name: "a broken connection says nothing of lives",
    file: endpoint,
    find: "if (this.addressOf(name) === address)\n                this.#lives.delete(name);",
    put: "void 0;",
    test: endpointTest,
  },
  {
    name: "a node carries frames that say they are somebody else's",
    file: endpoint,
    find: "if (inner !== undefined && inner.from !== from)",
    put: "if (false)",
    test: endpointTest,
  },
  {
    name: "a batch may be repeated as its first call may",
    file: "core/dist/rpc/callKinds.js",
    find: "(call.value.calls ?? []).every(",
    put: "(call.value.calls ?? []).slice(0, 1).every(",
    test: endpointTest,
  },
  {
    name: "the client asks another lathe after any silence",
    file: "core/dist/store/storeClient.js",
    find: "if (!mayRepeatStoreCall(call.case))",
    put: "if (false)",
    test: "core/dist/store/storeClient.test.js",
  },
  {
    name: "a silence is forgotten once another lathe is away",
    file: "core/dist/store/storeClient.js",
    find: "isUnknown = true;",
    put: "",
    test: "core/dist/store/storeClient.test.js",
  },
  {
    name: "a lathe passes on again what may not be repeated",
    file: "control/dist/store/storeService.js",
    find: "const isRepeatable = calls.every((call) => mayRepeatStoreCall(call.call.case));",
    put: "const isRepeatable = true;",
    test: `${sim}/calls.test.js`,
  },
  {
    name: "an order that was passed on is passed on again after a silence",
    file: "core/dist/http/router.js",
    find: 'if (!mayRepeat({ case: "pass", value: call }))',
    put: "if (false)",
    test: `${sim}/calls.test.js`,
  },
  {
    name: "frames run as often as they come, in a run of many lives",
    file: endpoint,
    find: "if (this.#begun.begin(frame.from, frame.caller, frame.id))",
    put: "if (true)",
    test: `${sim}/calls.test.js`,
  },
  {
    name: "replies are told by their number alone, in a run of many lives",
    file: endpoint,
    find: "if (frame.caller !== this.#life)",
    put: "if (false)",
    test: `${sim}/calls.test.js`,
  },
  {
    name: "calls run in any life, in a run of many lives",
    file: endpoint,
    find: "if (frame.id !== 0 && frame.callee !== this.#life)",
    put: "if (false)",
    test: `${sim}/calls.test.js`,
  },
];
