/** What must hold in every state of the model. */
export type PropertyName =
  | "one leader a term"
  | "one vote a term"
  | "votes of voters only"
  | "log matching"
  | "state machines agree"
  | "commits stay"
  | "commits on enough disks"
  | "answers only what is on disk"
  | "members are the log's newest"
  | "acknowledged orders stay"
  | "one order a revision"
  | "reads never go back"
  | "in touch only with a majority"
  | "all catch up"
  | "replies reach their call"
  | "no fault thrown";

/** A property does not hold: the run ends here, and what led to it is shrunk. */
export class Violation extends Error {
  readonly property: PropertyName;

  constructor(property: PropertyName, text: string) {
    super(`${property}: ${text}`);
    this.property = property;
  }
}
