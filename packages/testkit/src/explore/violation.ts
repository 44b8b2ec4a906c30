/** Properties that must hold in every state of the model. */
export type PropertyName =
  | "one leader a term"
  | "one vote a term"
  | "votes of voters only"
  | "log matching"
  | "state machines agree"
  | "commits stay"
  | "commits on enough disks"
  | "commits of the leader's own term"
  | "answers only what is on disk"
  | "members are the log's newest"
  | "acknowledged orders stay"
  | "one order a revision"
  | "reads never go back"
  | "in touch only with a majority"
  | "all catch up"
  | "replies reach their call"
  | "calls run at most once"
  | "no fault thrown";

/** A property does not hold. It ends the run, and the actions that led to it are shrunk. */
export class Violation extends Error {
  readonly property: PropertyName;

  constructor(property: PropertyName, text: string) {
    super(`${property}: ${text}`);
    this.property = property;
  }
}
