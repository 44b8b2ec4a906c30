/** Clients of an edge's in-process interface, which the users' platform is served by. */
import type { ClientConnection } from "@cranetrack/edge/connections/clientConnection.js";
import type { SessionEndpoint } from "@cranetrack/edge/connections/clientEndpoint.js";
import { EdgeClientEndpoint } from "@cranetrack/edge/connections/edgeClientEndpoint.js";
import type { SimFleet } from "./simFleet.js";

type Line = Record<string, unknown>;

/** Milliseconds that a call may take. */
const maxMs = 6000;

/** A client's end of an in-process connection: keeps the lines that it is sent. */
export class EndpointConnection implements ClientConnection {
  readonly lines: Line[] = [];
  waitingBytes = 0;
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

/** Runs the fleet until a call has its answer; throws where it has none in time. */
export async function resultOf<T>(fleet: SimFleet, call: Promise<T>): Promise<T> {
  let answer: { value: T } | undefined;
  void call.then((value) => (answer = { value }));
  if (!(await fleet.until(() => answer !== undefined, maxMs))) throw new Error(`no answer in ${maxMs} ms`);
  return answer!.value;
}

/** Connects a session at an edge; throws where that does not admit it. */
export async function open(
  fleet: SimFleet,
  edge: string,
  session: string,
): Promise<{ wire: EndpointConnection; connection: SessionEndpoint }> {
  const wire = new EndpointConnection();
  const answer = await resultOf(fleet, new EdgeClientEndpoint(fleet.find(edge)!.edge!).connect(session, wire));
  if (answer.outcome !== "open") throw new Error(`not connected: ${JSON.stringify(answer)}`);
  return { wire, connection: answer.connection };
}
