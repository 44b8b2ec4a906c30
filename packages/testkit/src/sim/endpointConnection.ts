/** Test clients of an edge's in-process interface, the one that the users' platform calls. */
import type { ClientConnection } from "@cranetrack/edge/connections/clientConnection.js";
import type { SessionEndpoint } from "@cranetrack/edge/connections/clientEndpoint.js";
import { EdgeClientEndpoint } from "@cranetrack/edge/connections/edgeClientEndpoint.js";
import type { SimFleet } from "./simFleet.js";

type Line = Record<string, unknown>;

/** Virtual milliseconds that a call may take. */
const callTimeoutMs = 6000;

/** The client's end of an in-process connection: records the lines sent to it. */
export class EndpointConnection implements ClientConnection {
  readonly lines: Line[] = [];
  bufferedBytes = 0;
  isClosed = false;
  #whenClosed: () => void = () => undefined;

  send(line: object): void {
    this.lines.push(line as Line);
  }

  close(): void {
    this.isClosed = true;
    this.#whenClosed();
  }

  onClose(whenClosed: () => void): void {
    this.#whenClosed = whenClosed;
  }

  /** The numbers of the messages delivered, in order. */
  numbers(): unknown[] {
    return this.lines.filter(({ kind }) => kind === "message").map(({ number }) => number);
  }
}

/** Runs the fleet until a call has been answered; throws if that takes more than 6 s of virtual time. */
export async function resultOf<T>(fleet: SimFleet, call: Promise<T>): Promise<T> {
  let answer: { value: T } | undefined;
  void call.then((value) => (answer = { value }));
  if (!(await fleet.until(() => answer !== undefined, callTimeoutMs)))
    throw new Error(`no answer in ${callTimeoutMs} ms`);
  return answer!.value;
}

/** Connects a session at an edge; throws if the edge does not admit it. */
export async function connectSession(
  fleet: SimFleet,
  edge: string,
  session: string,
): Promise<{ wire: EndpointConnection; connection: SessionEndpoint }> {
  const wire = new EndpointConnection();
  const answer = await resultOf(fleet, new EdgeClientEndpoint(fleet.find(edge)!.edge!).connect(session, wire));
  if (answer.outcome !== "open") throw new Error(`not connected: ${JSON.stringify(answer)}`);
  return { wire, connection: answer.connection };
}
