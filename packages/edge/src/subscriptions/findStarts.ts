import { Grouped } from "@cranetrack/core/store/grouped.js";
import type { TopicStart } from "@cranetrack/core/gen/cranetrack_pb.js";
import { Configurations } from "@cranetrack/core/configuration/configuration.js";
import type { StreamRoute } from "@cranetrack/core/configuration/streams.js";
import { Cursors, type Cursor } from "./cursor.js";
import type { TopicFault } from "./topicFault.js";
import type { Session } from "../sessions/session.js";
import type { StreamTail } from "../fanout/streamTail.js";
import { viewOf } from "../fanout/viewOf.js";
import type { EdgeParts } from "../edgeParts.js";
import { findRoute } from "../publishing/findRoute.js";
import { askStarts } from "./askStarts.js";

const headTimeoutMs = 600;

/** One topic that a client asks for, after the cursor that it brings, if any. */
export interface SubscriptionRequest {
  topic: string;
  after?: string;
}
/** Where a topic's delivery starts. */
export interface Start {
  topic: string;
  tail: StreamTail;
  cursor: Cursor;
  /** Why delivery does not go on from the client's cursor; empty where it does. */
  expired: string;
}
interface Routed {
  topic: string;
  tail: StreamTail;
  route: StreamRoute;
  /** The client's own cursor, else the one kept for it; none for a topic that it never had. */
  cursor: Cursor | undefined;
  isAsked: boolean;
}

/**
 * Where each topic's delivery starts. A cursor within this edge's tail is valid; all others are validated by the
 * stream's leader, never by what this edge has cached. Each start comes with an acquired tail, to be released.
 */
export async function findStarts(
  edge: EdgeParts,
  session: Session,
  requests: readonly SubscriptionRequest[],
): Promise<{ starts: Start[]; faults: TopicFault[] }> {
  const { faults, unrouted, routed } = routeRequests(edge, session, requests);
  const starts: Start[] = [];
  const unknown: Routed[] = [];
  // One follow of an edge brings the confirmed heads of all its connections' streams, so that a reconnecting crowd
  // need not ask one by one.
  await Promise.all(routed.map(({ tail }) => edge.streams.known(tail, headTimeoutMs)));
  for (const one of routed) {
    const start = startFromTail(edge, one);
    if (start === undefined) unknown.push(one);
    else starts.push(start);
  }
  const [confirmed, late] = await Promise.all([
    startsFromLeader(edge, unknown),
    findLateStarts(edge, session, unrouted),
  ]);
  starts.push(...late.starts);
  faults.push(...late.faults);
  for (const one of confirmed) {
    if ("code" in one) faults.push(one);
    else starts.push(one);
  }
  return { starts, faults };
}

interface RoutedRequests {
  readonly faults: TopicFault[];
  /** Topics that this edge knows no space for. */
  readonly unrouted: SubscriptionRequest[];
  readonly routed: Routed[];
}

function routeRequests(edge: EdgeParts, session: Session, requests: readonly SubscriptionRequest[]): RoutedRequests {
  const faults: TopicFault[] = [];
  const unrouted: SubscriptionRequest[] = [];
  const routed: Routed[] = [];
  for (const request of requests) {
    const { topic, after } = request;
    const asked = Cursors.read(after);
    const route = edge.node.configuration.route(topic);
    if (after !== undefined && asked === undefined)
      faults.push({ topic, code: "malformed-place", reason: "the place is malformed" });
    else if (route === undefined) unrouted.push(request);
    else {
      const cursor = asked ?? session.resumeCursors.get(topic);
      routed.push({ topic, tail: edge.streams.acquire(route), route, cursor, isAsked: asked !== undefined });
    }
  }
  return { faults, unrouted, routed };
}

/** The same of topics that this edge knew no space for when they were asked for. */
async function findLateStarts(
  edge: EdgeParts,
  session: Session,
  requests: readonly SubscriptionRequest[],
): Promise<{ starts: Start[]; faults: TopicFault[] }> {
  if (requests.length === 0) return { starts: [], faults: [] };
  const routes = await Promise.all(requests.map(({ topic }) => findRoute(edge, topic)));
  const faults = routes.filter((one) => "code" in one);
  const late = requests.filter((_, i) => !("code" in routes[i]!));
  if (late.length === 0) return { starts: [], faults };
  const found = await findStarts(edge, session, late);
  return { starts: found.starts, faults: [...faults, ...found.faults] };
}

/**
 * What the tail shows by itself: a cursor within it, in the same incarnation, of a topic that has a contract.
 */
function startFromTail(edge: EdgeParts, { topic, tail, cursor }: Routed): Start | undefined {
  if (!tail.isKnown || Configurations.contractFor(edge.node.configuration.configuration, topic) === undefined)
    return undefined;
  if (cursor === undefined)
    return { topic, tail, cursor: { incarnation: tail.incarnation, seq: tail.head }, expired: "" };
  const isWithinTail = cursor.incarnation === tail.incarnation && cursor.seq >= tail.low && cursor.seq <= tail.head;
  return isWithinTail ? { topic, tail, cursor, expired: "" } : undefined;
}

async function startsFromLeader(edge: EdgeParts, unknown: readonly Routed[]): Promise<Array<Start | TopicFault>> {
  const shards = Grouped.by(unknown, ({ tail }) => tail.shard);
  const confirmed = await Promise.all(
    [...shards].map(async ([shard, list]) => {
      const cursors = list.map(({ topic, route, cursor }) => ({ topic, ...viewOf(edge.node, route), ...cursor }));
      const answers = await askStarts(edge, shard, cursors);
      return list.map((one) => startOrFault(one, answers?.get(one.topic)));
    }),
  );
  const all = confirmed.flat();
  for (const one of unknown)
    if (!all.some((found) => "tail" in found && found.topic === one.topic)) edge.streams.release(one.tail);
  return all;
}

function startOrFault({ topic, tail, isAsked }: Routed, answer: TopicStart | undefined): Start | TopicFault {
  const unavailable = {
    topic,
    code: "unavailable",
    reason: "the topic's holder does not answer",
    retryAfterSeconds: 0.5,
  };
  if (answer === undefined) return unavailable;
  const { outcome, incarnation, seq, reason } = answer;
  if (outcome === "behind") return { ...unavailable, reason: "the topic's space is changing", retryAfterSeconds: 0.3 };
  if (outcome === "unknown-topic")
    return { topic, code: outcome, reason: `the plan in force has no rule for ${topic}` };
  if (outcome === "unknown-place" && isAsked) return { topic, code: outcome, reason };
  // A stored cursor that the log does not know can only be of a log that is gone.
  const expired = outcome === "known" ? "" : reason;
  return { topic, tail, cursor: { incarnation, seq }, expired };
}
