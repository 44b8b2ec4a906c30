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

/** Milliseconds to wait for the leader to confirm a stream before it is asked directly. */
const headTimeoutMs = 600;

/** A topic that a client wants to subscribe to, and the cursor after which delivery is to start, if it has one. */
export interface SubscriptionRequest {
  topic: string;
  after?: string;
}
/** Where a topic's delivery starts. */
export interface Start {
  topic: string;
  tail: StreamTail;
  cursor: Cursor;
  /** Why delivery can't continue from the client's cursor; empty if it can. */
  expired: string;
}
/** A requested topic that has a route, with its acquired tail. */
interface RoutedTopic {
  topic: string;
  tail: StreamTail;
  route: StreamRoute;
  /** The cursor sent by the client, or the one kept in its session; undefined if there is neither. */
  cursor: Cursor | undefined;
  /** Whether the client sent the cursor. */
  isClientCursor: boolean;
}

/**
 * Finds where the delivery of each topic starts. A cursor within this edge's tail is valid; every other cursor is
 * validated by the stream's leader, never by what this edge has cached. The tail of each start is acquired, and the
 * caller must release it.
 */
export async function findStarts(
  edge: EdgeParts,
  session: Session,
  requests: readonly SubscriptionRequest[],
): Promise<{ starts: Start[]; faults: TopicFault[] }> {
  const { faults, unrouted, routed } = routeRequests(edge, session, requests);
  const starts: Start[] = [];
  const undecided: RoutedTopic[] = [];
  // The edge's follow of a shard confirms the heads of all streams of its connections together, so that the leader is
  // not asked per connection when many clients reconnect at once.
  await Promise.all(routed.map(({ tail }) => edge.streams.whenConfirmed(tail, headTimeoutMs)));
  for (const routedTopic of routed) {
    const start = startFromTail(edge, routedTopic);
    if (start === undefined) undecided.push(routedTopic);
    else starts.push(start);
  }
  const [confirmed, late] = await Promise.all([
    startsFromLeader(edge, undecided),
    findLateStarts(edge, session, unrouted),
  ]);
  starts.push(...late.starts);
  faults.push(...late.faults);
  for (const result of confirmed) {
    if ("code" in result) faults.push(result);
    else starts.push(result);
  }
  return { starts, faults };
}

/** The topics of requests, grouped into those with a fault, those without a route and those with one. */
interface RoutedRequests {
  readonly faults: TopicFault[];
  /** Topics without a space in this edge's configuration. */
  readonly unrouted: SubscriptionRequest[];
  readonly routed: RoutedTopic[];
}

function routeRequests(edge: EdgeParts, session: Session, requests: readonly SubscriptionRequest[]): RoutedRequests {
  const faults: TopicFault[] = [];
  const unrouted: SubscriptionRequest[] = [];
  const routed: RoutedTopic[] = [];
  for (const request of requests) {
    const { topic, after } = request;
    const clientCursor = Cursors.read(after);
    const route = edge.node.configuration.route(topic);
    if (after !== undefined && clientCursor === undefined)
      faults.push({ topic, code: "malformed-place", reason: "the place is malformed" });
    else if (route === undefined) unrouted.push(request);
    else {
      const cursor = clientCursor ?? session.resumeCursors.get(topic);
      routed.push({
        topic,
        tail: edge.streams.acquire(route),
        route,
        cursor,
        isClientCursor: clientCursor !== undefined,
      });
    }
  }
  return { faults, unrouted, routed };
}

/** Like `findStarts`, for topics that had no space in this edge's configuration when they were requested. */
async function findLateStarts(
  edge: EdgeParts,
  session: Session,
  requests: readonly SubscriptionRequest[],
): Promise<{ starts: Start[]; faults: TopicFault[] }> {
  if (requests.length === 0) return { starts: [], faults: [] };
  const routes = await Promise.all(requests.map(({ topic }) => findRoute(edge, topic)));
  const faults = routes.filter((route) => "code" in route);
  const late = requests.filter((_, i) => !("code" in routes[i]!));
  if (late.length === 0) return { starts: [], faults };
  const found = await findStarts(edge, session, late);
  return { starts: found.starts, faults: [...faults, ...found.faults] };
}

/**
 * The start if the tail alone can decide it: the topic has a contract, and its cursor, if any, is of the same
 * incarnation and within the tail. Otherwise undefined.
 */
function startFromTail(edge: EdgeParts, { topic, tail, cursor }: RoutedTopic): Start | undefined {
  if (!tail.isConfirmed || Configurations.contractFor(edge.node.configuration.configuration, topic) === undefined)
    return undefined;
  if (cursor === undefined)
    return { topic, tail, cursor: { incarnation: tail.incarnation, seq: tail.head }, expired: "" };
  const isWithinTail = cursor.incarnation === tail.incarnation && cursor.seq >= tail.low && cursor.seq <= tail.head;
  return isWithinTail ? { topic, tail, cursor, expired: "" } : undefined;
}

async function startsFromLeader(
  edge: EdgeParts,
  undecided: readonly RoutedTopic[],
): Promise<Array<Start | TopicFault>> {
  const shards = Grouped.by(undecided, ({ tail }) => tail.shard);
  const confirmed = await Promise.all(
    [...shards].map(async ([shard, list]) => {
      const cursors = list.map(({ topic, route, cursor }) => ({ topic, ...viewOf(edge.node, route), ...cursor }));
      const answers = await askStarts(edge, shard, cursors);
      return list.map((routedTopic) => startOrFault(routedTopic, answers?.get(routedTopic.topic)));
    }),
  );
  const all = confirmed.flat();
  for (const routedTopic of undecided)
    if (!all.some((found) => "tail" in found && found.topic === routedTopic.topic))
      edge.streams.release(routedTopic.tail);
  return all;
}

function startOrFault(
  { topic, tail, isClientCursor }: RoutedTopic,
  answer: TopicStart | undefined,
): Start | TopicFault {
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
  if (outcome === "unknown-place" && isClientCursor) return { topic, code: outcome, reason };
  // A cursor kept in the session that is unknown to the log can only be of a log that no longer exists.
  const expired = outcome === "known" ? "" : reason;
  return { topic, tail, cursor: { incarnation, seq }, expired };
}
