/** Fields of a log line. */
export type LogFields = Readonly<Record<string, string | number | boolean | null | undefined>>;

/** Structured logger. */
export interface Log {
  info(event: string, fields?: LogFields): void;
  warn(event: string, fields?: LogFields): void;
  error(event: string, fields?: LogFields): void;
}

/** Metric labels. */
export type Labels = Readonly<Record<string, string>>;

/** Receives metrics. */
export interface Meter {
  /** Adds `amount`, by default 1, to a counter. */
  count(name: string, amount?: number, labels?: Labels): void;
  /** Records a duration in milliseconds. */
  record(name: string, valueMs: number, labels?: Labels): void;
  /** Sets a gauge. */
  gauge(name: string, value: number, labels?: Labels): void;
}
