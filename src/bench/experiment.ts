/** Options of one run of an experiment. */
export interface RunOptions {
  /** Seed of the random numbers; experiments with several runs use the numbers after it too. */
  readonly seed: number;
  /** The only variant to run; if absent, all run. */
  readonly variant?: string;
  /** Prints one JSON line. */
  readonly emit: (line: Record<string, unknown>) => void;
}

/** Whether an experiment met its target, and the measured figures. */
export interface ExperimentResult {
  readonly pass: boolean;
  readonly figure: Record<string, number | string>;
}

/** Experiment that `npm run bench` can run. */
export interface Experiment {
  readonly name: string;
  /** What the experiment measures. */
  readonly shows: string;
  /** Target as stated in docs/design.md, section 10. */
  readonly target: string;
  readonly variants: readonly string[];
  run(opts: RunOptions): Promise<ExperimentResult>;
}
