import { type } from "arktype";
import { Plans } from "@cranetrack/core/mark/plan.js";
import { ApiReceipts, type ApiReceipt } from "@cranetrack/core/request/apiReceipt.js";
import { BodyReader } from "@cranetrack/core/request/bodyReader.js";
import type { ClientLink } from "../link/clientLink.js";
import { Places } from "../mark/place.js";
import type { Session } from "../process/session.js";
import type { ViseParts } from "../process/viseParts.js";
import { AdmitSession } from "./admitSession.js";
import type { Wish } from "./findStarts.js";
import { subscribeTopics } from "./subscribeTopics.js";

const linkBody = type({
  "+": "reject",
  "subscriptions?": type({ "+": "reject", topic: "string", "after?": "string" }).array().atMostLength(100_000),
});

/** A client's long connection, new or resumed, from its request to its confirmed subscriptions. */
export async function enrolLink(
  vise: ViseParts,
  id: string,
  body: Uint8Array,
  open: () => ClientLink,
): Promise<ApiReceipt | undefined> {
  if (!AdmitSession.isName(id))
    return ApiReceipts.fault(
      400,
      "malformed",
      "a session is named by 1 to 64 letters, digits, dots, dashes and underscores",
      { problems: [{ path: "session", problem: "is malformed" }] },
    );
  const read = BodyReader.read(body.length === 0 ? Buffer.from("{}") : body, linkBody);
  if ("receipt" in read) return read.receipt;
  const faulty = (read.value.subscriptions ?? []).findIndex((wish) => !Plans.isTopic(wish.topic));
  if (faulty !== -1)
    return ApiReceipts.fault(400, "malformed", "a topic is space/name", {
      problems: [{ path: `subscriptions.${faulty}.topic`, problem: "must be space/name" }],
    });
  const admitted = await AdmitSession.run(vise, id);
  if (!("session" in admitted)) return ApiReceipts.away(admitted.reason, admitted.comeBack, admitted.code);
  const { session } = admitted;
  const link = open();
  AdmitSession.tie(vise, session, link);
  session.bringsTopics = false;
  const kept: Wish[] = [...session.places.keys()].map((topic) => ({ topic }));
  link.send({
    kind: "open",
    session: id,
    node: vise.node.exchange.name,
    beatMs: vise.beatMs,
    numbers: session.numbers.highestByTopic(),
  });
  forgetOthers(session, read.value.subscriptions);
  const faults = await subscribeTopics(vise, session, link, read.value.subscriptions ?? kept);
  if (session.link === link) for (const fault of faults ?? []) link.send({ kind: "fault", ...fault });
  return undefined;
}

/** A link that names its topics gets these and no others. */
function forgetOthers(session: Session, wishes: readonly Wish[] | undefined): void {
  if (wishes === undefined) return;
  const wanted = new Set(wishes.map((wish) => wish.topic));
  for (const topic of session.places.keys()) if (!wanted.has(topic)) session.places.delete(topic);
  for (const { topic, after } of wishes) {
    const place = Places.read(after);
    if (place !== undefined) session.places.set(topic, place);
  }
}
