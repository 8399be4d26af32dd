/** Options of one experiment run. */
export interface RunOptions {
  readonly seed: number;
  /** Runs one variant only; absent runs all. */
  readonly variant?: string;
  /** Prints one JSON line. */
  readonly emit: (line: Record<string, unknown>) => void;
}

/** Verdict of an experiment against its stated target. */
export interface Verdict {
  readonly pass: boolean;
  readonly figure: Record<string, number | string>;
}

/** Experiment of `npm run bench`. */
export interface Experiment {
  readonly name: string;
  readonly shows: string;
  /** Target as stated in docs/design.md, section 10. */
  readonly target: string;
  readonly variants: readonly string[];
  run(opts: RunOptions): Promise<Verdict>;
}
