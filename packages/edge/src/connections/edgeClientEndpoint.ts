import { SessionConnection } from "./sessionConnection.js";
import type { ClientConnection } from "./clientConnection.js";
import { countTopic } from "../subscriptions/countTopic.js";
import { AdmitSession } from "../sessions/admitSession.js";
import type { ConnectResult, ClientEndpoint, CountResult } from "./clientEndpoint.js";
import type { EdgeParts } from "../edgeParts.js";

/** The edge's implementation of `ClientEndpoint`. */
export class EdgeClientEndpoint implements ClientEndpoint {
  /**
   * Milliseconds that a connection waits for the store and the session's old owner before the client is told when to
   * retry. Longer than an election of the store's leader, and shorter than clients wait for an answer.
   */
  static readonly maxAdmissionWaitMs = 1300;

  readonly #edge: EdgeParts;

  constructor(edge: EdgeParts) {
    this.#edge = edge;
  }

  /** Takes ownership of the session and attaches the connection to it, replacing an older connection. */
  async connect(id: string, connection: ClientConnection): Promise<ConnectResult> {
    if (!AdmitSession.isName(id)) return { outcome: "malformed", reason: "a session's name is malformed" };
    const { clock } = this.#edge.node.parts;
    const startedAt = clock.now();
    const admitted = await AdmitSession.run(this.#edge, id, EdgeClientEndpoint.maxAdmissionWaitMs);
    const outcome = connection.isClosed ? "abandoned" : "session" in admitted ? "open" : "refused";
    this.#edge.joinings.recordGreeting(outcome, clock.now() - startedAt);
    if (!("session" in admitted))
      return { outcome: "away", reason: admitted.reason, retryAfterSeconds: admitted.retryAfterSeconds };
    const { session } = admitted;
    if (connection.isClosed) return { outcome: "away", reason: "the client is gone", retryAfterSeconds: 0 };
    AdmitSession.attach(this.#edge, session, connection);
    session.clientKeepsSubscriptions = true;
    session.resumeCursors.clear();
    return { outcome: "open", connection: new SessionConnection(this.#edge, session, connection) };
  }

  /** The number of present subscribers of a topic at all edges. */
  count(topic: string): Promise<CountResult> {
    return countTopic(this.#edge, topic);
  }
}
