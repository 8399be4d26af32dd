import type { Log, LogFields } from '../core/interfaces/index.js';

/**
 * Opens a log that writes JSON lines to standard output. Roarr reads `ROARR_LOG` when it is loaded, so it is imported
 * dynamically after the variable is set.
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
