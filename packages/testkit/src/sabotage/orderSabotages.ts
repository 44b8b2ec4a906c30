import type { Sabotage } from "./sabotages.js";

const sim = "testkit/dist/sim";

/** Guards of operators' orders: what was acknowledged, under which version, with which content. */
export const orderSabotages: readonly Sabotage[] = [
  {
    name: "a plan needs no rising mark",
    file: "control/dist/configuration/judgeOrder.js",
    find: "order.version > versionInForce",
    put: "true",
    test: `${sim}/store.test.js`,
  },
  {
    name: "a plan's document is not looked at",
    file: "control/dist/configuration/judgeOrder.js",
    find: 'document === undefined ? contentDigest("plan", body) : contentDigest("document", document)',
    put: 'contentDigest("plan", body)',
    test: `${sim}/orders.test.js`,
  },
  {
    name: "an acknowledged version's content is not recorded",
    file: "control/dist/configuration/judgeOrder.js",
    find: "facts.record !== undefined",
    put: "false",
    test: `${sim}/orders.test.js`,
  },
  {
    name: "a superseded order is acknowledged before its record is committed",
    file: "control/dist/configuration/putPlan.js",
    find: "return settled(order, await node.store.txn({ checks: [check]",
    put: "return accepted(order.version, 0); settled(order, await node.store.txn({ checks: [check]",
    test: `${sim}/orders.test.js`,
  },
  {
    name: "a record may be written over",
    file: "control/dist/configuration/putPlan.js",
    find: "node.store.txn({ checks: [check]",
    put: "node.store.txn({ checks: []",
    test: `${sim}/orders.test.js`,
  },
  {
    name: "what a node lacks is a refusal for good",
    file: "control/dist/configuration/putPlan.js",
    find: 'fault(503, "no-capacity"',
    put: 'fault(422, "no-capacity"',
    test: `${sim}/orders.test.js`,
  },
  {
    name: "faults of a node's settings come before what was taken",
    file: "control/dist/configuration/putPlan.js",
    find: "(document === undefined || mark === 0)",
    put: "true",
    test: `${sim}/orders.test.js`,
  },
  {
    name: "contents are compared byte by byte",
    file: "core/dist/configuration/contentDigest.js",
    find: "update(canonicalOf(bytes))",
    put: "update(bytes)",
    test: `${sim}/orders.test.js`,
  },
  {
    name: "records of versions have no bound",
    file: "control/dist/store/acceptedOrders.js",
    find: "records.length - AcceptedOrderKey.mostRecords",
    put: "0",
    test: "control/dist/store/acceptedOrders.test.js",
  },
  {
    name: "a version is recorded again once its record was dropped",
    file: "control/dist/store/acceptedOrders.js",
    find: "Math.min(...versions) <= AcceptedOrders.floor(keys)",
    put: "false",
    test: "control/dist/store/acceptedOrders.test.js",
  },
  {
    name: "what an earlier release acknowledged counts as never seen",
    file: "control/dist/store/acceptedOrders.js",
    find: "Math.max(kept, unrecordedVersion(keys))",
    put: "kept",
    test: "control/dist/store/acceptedOrders.test.js",
  },
];
