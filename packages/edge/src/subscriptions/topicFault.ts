/** Why one topic could not be subscribed; the others go on. */
export interface TopicFault {
  topic: string;
  code: string;
  reason: string;
  retryAfterSeconds?: number;
}
