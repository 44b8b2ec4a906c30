/** The random seam: everything drawn comes from here, so that a seed replays a run. */
export interface RandomSource {
  /** In [0, 1). */
  draw(): number;
  /** A fresh identity, hexadecimal, at least 16 characters. */
  identity(): string;
}
