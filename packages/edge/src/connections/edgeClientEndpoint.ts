import { SessionConnection } from "./sessionConnection.js";
import type { ClientConnection } from "./clientConnection.js";
import { countTopic } from "../subscriptions/countTopic.js";
import { AdmitSession } from "../sessions/admitSession.js";
import type { Connected, ClientEndpoint, Counted } from "./clientEndpoint.js";
import type { EdgeParts } from "../edgeParts.js";

/** The in-process interface of an edge for servers that clients connect to. */
export class EdgeClientEndpoint implements ClientEndpoint {
  /**
   * Milliseconds that a connection waits for the store and its session's old owner before the client hears when to
   * retry. Longer than an election, and shorter than clients wait for an answer.
   */
  static readonly patienceMs = 1300;

  readonly #edge: EdgeParts;

  constructor(edge: EdgeParts) {
    this.#edge = edge;
  }

  /** Takes the session over to this node and makes the connection its own, in place of an older one. */
  async connect(id: string, connection: ClientConnection): Promise<Connected> {
    if (!AdmitSession.isName(id)) return { outcome: "malformed", reason: "a session's name is malformed" };
    const { clock } = this.#edge.node.parts;
    const startedAt = clock.now();
    const admitted = await AdmitSession.run(this.#edge, id, EdgeClientEndpoint.patienceMs);
    const outcome = connection.isClosed ? "abandoned" : "session" in admitted ? "open" : "refused";
    this.#edge.joinings.greeted(outcome, clock.now() - startedAt);
    if (!("session" in admitted))
      return { outcome: "away", reason: admitted.reason, retryAfterSeconds: admitted.retryAfterSeconds };
    const { session } = admitted;
    if (connection.isClosed) return { outcome: "away", reason: "the client is gone", retryAfterSeconds: 0 };
    AdmitSession.attach(this.#edge, session, connection);
    session.bringsTopics = true;
    session.resumeCursors.clear();
    return { outcome: "open", connection: new SessionConnection(this.#edge, session, connection) };
  }

  /** Subscribers at all edges. */
  count(topic: string): Promise<Counted> {
    return countTopic(this.#edge, topic);
  }
}
