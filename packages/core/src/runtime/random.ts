/** The only source of random values, so that the simulator can replay a run from its seed. */
export interface RandomSource {
  /** A random number in [0, 1). */
  draw(): number;
  /** A new unique id: hexadecimal, at least 16 characters. */
  identity(): string;
}
