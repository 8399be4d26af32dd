import { safeLoadSettings } from './files.js';
import type { LoadedSettings } from './files.js';
import { ExitCode, failed, invalid } from './outcome.js';
import type { Outcome } from './outcome.js';
import type { DrainReport } from '../daemon/api.js';
import type { Result } from '../core/result.js';

/** Running entry. */
export interface RunningEntry {
  /** Starts the planned stop; a second call joins the first. */
  stop(): Promise<DrainReport>;
  /** Resolves to the report after the planned stop, once all listeners are closed; also if an operator started it. */
  readonly stopped: Promise<DrainReport>;
}

/** Starts one entry; the error message gives the reason why it cannot start. */
export type StartEntry = (loaded: LoadedSettings) => Promise<Result<RunningEntry, { readonly message: string }>>;

/** Runs one entry until its planned stop is over; SIGTERM and SIGINT start it. Fails if requests were cut. */
export async function serve(file: string, start: StartEntry): Promise<Outcome> {
  const loaded = safeLoadSettings(file);
  if (!loaded.success) return invalid(ExitCode.Usage, loaded.error);
  const entry = await start(loaded.data);
  if (!entry.success) return failed(ExitCode.Refused, entry.error.message);
  const { data: running } = entry;
  const stop = (): void => {
    void running.stop();
  };
  process.on('SIGTERM', stop);
  process.on('SIGINT', stop);
  const report = await running.stopped;
  process.off('SIGTERM', stop);
  process.off('SIGINT', stop);
  const counts = `${report.finished} finished, ${report.handedOver} handed over, ${report.cut} cut`;
  return {
    exitCode: report.cut === 0 ? ExitCode.Done : ExitCode.Refused,
    json: report,
    text: `stopped after ${Math.round(report.durationMs)} ms: ${counts}`,
  };
}
