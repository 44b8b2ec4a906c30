/**
 * The exit codes of `cranetrackctl`, for scripts:
 *
 * | code | name         | meaning                                                                      |
 * |------|--------------|------------------------------------------------------------------------------|
 * | 0    | `done`       | carried out, or printed                                                      |
 * | 1    | `refused`    | a node answered that it will not; or a step of a runbook failed              |
 * | 2    | `misused`    | unknown command, action, runbook or option, or one is missing; nothing sent  |
 * | 3    | `unanswered` | no node answered, or the outcome is unknown: read before repeating a change  |
 */
export const exitCodes = { done: 0, refused: 1, misused: 2, unanswered: 3 } as const;

/** One of `exitCodes`. */
export type ExitCode = (typeof exitCodes)[keyof typeof exitCodes];
