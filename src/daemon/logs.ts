import type { Log, LogFields } from '../core/interfaces/index.js';

/**
 * Opens the log: JSON lines on standard output. Roarr reads `ROARR_LOG` when it is loaded, so it is loaded here, after
 * the variable is set, and never by a static import.
 */
export async function openLog(context: LogFields = {}): Promise<Log> {
  process.env.ROARR_LOG = 'true';
  const { Roarr } = await import('roarr');
  const logger = Roarr.child({ ...context });
  return {
    info: (event, fields = {}) => logger.info({ ...fields }, event),
    warn: (event, fields = {}) => logger.warn({ ...fields }, event),
    error: (event, fields = {}) => logger.error({ ...fields }, event),
  };
}
