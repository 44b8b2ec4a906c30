/**
 * The exit codes of `cranetrackctl`, for scripts:
 *
 * | code | name         | meaning                                                                      |
 * |------|--------------|------------------------------------------------------------------------------|
 * | 0    | `done`       | the call was carried out, or its result printed                              |
 * | 1    | `refused`    | a node rejected the call, or a step of a runbook failed                      |
 * | 2    | `misused`    | unknown or missing command, action, runbook or option; nothing was sent      |
 * | 3    | `unanswered` | no node answered or the outcome is unknown: read before repeating a change   |
 */
export const exitCodes = { done: 0, refused: 1, misused: 2, unanswered: 3 } as const;

/** One of `exitCodes`. */
export type ExitCode = (typeof exitCodes)[keyof typeof exitCodes];
