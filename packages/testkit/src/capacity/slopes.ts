/** One quantity measured at several sizes, and the run that gave it. */
export interface MeasuredSlope {
  what: string;
  unit: string;
  /** What the size counts, and at each size what was measured. */
  per: string;
  points: Array<[size: number, value: number]>;
  command: string;
  date: string;
  commit: string;
}
export interface Line {
  slope: number;
  base: number;
  /** The largest distance of a point from the line, as a share of the largest value. */
  stray: number;
}

export const Slopes = {
  minSizes: 3,

  /** The straight line of least squares. */
  fit(points: ReadonlyArray<readonly [number, number]>): Line {
    const mean = (values: readonly number[]): number => values.reduce((sum, one) => sum + one, 0) / values.length;
    const [x, y] = [mean(points.map(([size]) => size)), mean(points.map(([, value]) => value))];
    const variance = points.reduce((sum, [size]) => sum + (size - x) ** 2, 0);
    const slope = points.reduce((sum, [size, value]) => sum + (size - x) * (value - y), 0) / variance;
    const base = y - slope * x;
    const largest = Math.max(...points.map(([, value]) => Math.abs(value)));
    const strays = points.map(([size, value]) => Math.abs(base + slope * size - value));
    return { slope, base, stray: largest === 0 ? 0 : Math.max(...strays) / largest };
  },

  /** What is wrong with a record of slopes; none where it can be worked with. */
  faults(slopes: Readonly<Record<string, MeasuredSlope>>, needed: readonly string[]): string[] {
    const absent = needed.filter((name) => !Object.hasOwn(slopes, name)).map((name) => `${name}: not measured`);
    const poor = Object.entries(slopes).flatMap(([name, { points, command, date, commit }]) => {
      const sizes = new Set(points.map(([size]) => size));
      if (sizes.size < Slopes.minSizes) return [`${name}: fewer than ${Slopes.minSizes} sizes`];
      if (!points.flat().every(Number.isFinite)) return [`${name}: a point is no number`];
      return [command, date, commit].includes("") ? [`${name}: the run is not named`] : [];
    });
    return [...absent, ...poor];
  },
};
