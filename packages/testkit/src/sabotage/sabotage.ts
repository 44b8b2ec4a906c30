/** A guard to be taken out of the built project, and the test that must notice. */
export interface Mutant {
  name: string;
  /** Built file below packages/, and what to put in place of what. */
  file: string;
  find: string;
  put: string;
  /** The built test that must fail then. */
  test: string;
}
