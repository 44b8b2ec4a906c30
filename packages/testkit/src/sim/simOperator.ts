import { proposeConfiguration } from "@cranetrack/control/configuration/proposeConfiguration.js";
import { readDocument } from "@cranetrack/control/configuration/readDocument.js";
import { ApiReplies, type ApiReply } from "@cranetrack/core/http/apiReply.js";
import type { ClusterNode } from "@cranetrack/core/runtime/clusterNode.js";
import type { PortReply } from "../clients/clientPort.js";
import type { Operation } from "../checker/linearizability.js";
import type { RegisterInput, RegisterOutput } from "../checker/versionedRegister.js";
import type { SimFleet } from "./simFleet.js";
import type { SimRandom } from "./simRandom.js";
import { documentTextOf } from "@cranetrack/core/configuration/documentBuilder.js";

/** One attempt of an operator, as the linearizability checker reads it. */
export type OrderOperation = Operation<RegisterInput, RegisterOutput>;

/** All attempts of all operators. */
export class OrderHistory {
  readonly operations: OrderOperation[] = [];
}

/**
 * An operator: sends a request to one control node after the other until it has a definite answer; some answers are
 * lost. Each attempt is one operation of the history, and one without a definite answer may take effect at any later
 * time.
 */
export class SimOperator {
  static readonly answerTimeoutMs = 1000;
  static readonly firstPauseMs = 50;
  static readonly maxPauseMs = 1600;
  static readonly maxAttempts = 12;

  readonly #fleet: SimFleet;
  readonly #random: SimRandom;
  readonly #history: OrderHistory;
  /** Share (0 to 1) of the answers that are lost. */
  readonly #answerLoss: number;

  constructor(fleet: SimFleet, history: OrderHistory, lossOfAnswers: number) {
    this.#fleet = fleet;
    this.#random = fleet.world.random.fork();
    this.#history = history;
    this.#answerLoss = lossOfAnswers;
  }

  /** Sends a request with retries; returns the definite answer, or undefined if none came. */
  async ask(input: RegisterInput): Promise<RegisterOutput | undefined> {
    let pauseMs = SimOperator.firstPauseMs;
    for (let tries = 0; tries < SimOperator.maxAttempts; tries += 1) {
      const output = await this.try(this.#random.pick(this.#fleet.withRole("lathe")), input);
      if (output !== undefined) return output;
      await this.#wait(pauseMs);
      pauseMs = Math.min(SimOperator.maxPauseMs, 2 * pauseMs);
    }
    return undefined;
  }

  /** One attempt at one node; undefined without a definite answer. */
  async try(name: string, input: RegisterInput): Promise<RegisterOutput | undefined> {
    const { world, port } = this.#fleet;
    const operation: OrderOperation = { calledAt: world.now, returnedAt: Infinity, input, output: undefined };
    this.#history.operations.push(operation);
    const answered = port.run(name, ({ node }) => execute(node, input));
    const reply = await Promise.race([answered, this.#wait(SimOperator.answerTimeoutMs)]);
    const isLost = this.#random.draw() < this.#answerLoss;
    const output = reply === undefined || isLost ? undefined : outputOf(input, reply);
    if (output === undefined) return undefined;
    operation.returnedAt = world.now;
    operation.output = output;
    return output;
  }

  #wait(ms: number): Promise<undefined> {
    const { world } = this.#fleet;
    return new Promise((resolve) => void world.at(world.now + ms, () => resolve(undefined)));
  }
}

/** Runs a request on a node. The space retains no messages, so that the reply does not depend on the fleet's size. */
function execute(node: ClusterNode, input: RegisterInput): Promise<ApiReply> {
  if (input.kind === "read") return readBack(node);
  const { version, content, isValid } = input;
  const contract = { keep: isValid ? 0 : -1, order: "sender", fault_budget: {} };
  const configuration = { version, spaces: [{ name: "notes", program: [{ when: {}, contract }] }] };
  const document = { version, content };
  return proposeConfiguration(node, Buffer.from(documentTextOf(configuration)), Buffer.from(JSON.stringify(document)));
}

async function readBack(node: ClusterNode): Promise<ApiReply> {
  const read = await readDocument(node);
  if (read.outcome === "away") return ApiReplies.unavailable("no majority");
  return ApiReplies.done(read.outcome === "none" ? { version: 0, content: "" } : read.document);
}

function outputOf(input: RegisterInput, { status, body }: PortReply): RegisterOutput | undefined {
  if (status === 0 || status >= 500) return undefined;
  if (input.kind === "read")
    return { kind: "content", version: Number(body["version"]), content: String(body["content"]) };
  if (status === 200) return { kind: "acknowledged" };
  return status === 409 ? { kind: "refused" } : { kind: "invalid" };
}
