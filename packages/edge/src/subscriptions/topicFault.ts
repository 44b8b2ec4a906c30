/** Why one topic of a request could not be served. Other topics of the request are not affected. */
export interface TopicFault {
  topic: string;
  code: string;
  reason: string;
  /** Set if the fault is temporary. */
  retryAfterSeconds?: number;
}
