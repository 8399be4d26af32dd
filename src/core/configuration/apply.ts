import { KEY_VALUE_MAX_BYTES, KeyValueErrorCode } from '../interfaces/index.js';
import type {
  Clock, KeyValue, KeyValueEntry, Random,
} from '../interfaces/index.js';
import { decodeRecord, hashFile } from './revisions.js';
import type { ApplyOutcome, ConfigurationRecord, Revisions } from './revisions.js';
import { sleep } from '../time.js';

/** Key of the fleet file in the key-value service. */
export const CONFIGURATION_KEY = 'config';

const ATTEMPTS_KEPT = 16;

const CALL_TIMEOUT_MS = 1_000;

const RETRY_MS = 100;

/** Options of {@link applyFile}. */
export interface ApplyOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly keyValue: KeyValue;
  readonly revisions: Revisions;
  /** Revision that the file is based on; `undefined` stands for the revision in force. */
  readonly baseRevision: number | undefined;
  /** Time in ms after which the attempt ends. */
  readonly timeoutMs: number;
  /** Called before each call to the key-value service. */
  readonly onCall: (method: 'get' | 'transact') => void;
}

function revisionOfAttempt(record: ConfigurationRecord | null, attempt: string): number | undefined {
  return record?.attempts.find((item) => item.attempt === attempt)?.revision;
}

function conflictOutcome(record: ConfigurationRecord | null, revisions: Revisions): ApplyOutcome {
  const winner = record ?? revisions.inForce();
  return { type: 'conflict', revision: winner?.revision ?? 0, hash: winner?.hash ?? '' };
}

function tooLargeOutcome(bytes: number): ApplyOutcome {
  return {
    type: 'invalid',
    issues: [{
      code: 'too_large', path: [], bytes, limitBytes: KEY_VALUE_MAX_BYTES,
    }],
  };
}

/**
 * Writes a validated file as the next revision by a compare-and-swap. When the answer to the write is lost, it reads
 * the record to find out whether the write took effect. Errors are returned as outcomes.
 */
export async function applyFile(file: string, opts: ApplyOptions): Promise<ApplyOutcome> {
  const {
    clock, random, keyValue, revisions,
  } = opts;
  const fileBytes = Buffer.byteLength(file);
  if (fileBytes > KEY_VALUE_MAX_BYTES) return tooLargeOutcome(fileBytes);
  const deadline = clock.monotonic() + opts.timeoutMs;
  const callOptions = () => ({ timeoutMs: Math.min(CALL_TIMEOUT_MS, Math.max(1, deadline - clock.monotonic())) });
  const pause = () => sleep(clock, Math.max(0, Math.min(
    RETRY_MS * (0.5 + random.float()),
    deadline - clock.monotonic(),
  )));
  const read = () => {
    opts.onCall('get');
    return keyValue.get(CONFIGURATION_KEY, callOptions());
  };
  let initial = await read();
  while (!initial.success && clock.monotonic() < deadline) {
    await pause();
    initial = await read();
  }
  if (!initial.success) return { type: 'unavailable', message: initial.error.message };
  const initialRecord = decodeRecord(initial.data);
  if (initialRecord !== null) revisions.adopt(initialRecord, 'service');
  const base = Math.max(initialRecord?.revision ?? 0, revisions.revision);
  if (opts.baseRevision !== undefined && opts.baseRevision !== base) return conflictOutcome(initialRecord, revisions);

  const attempt = random.id();
  const hash = hashFile(file);
  const createWrite = (current: KeyValueEntry | null) => {
    const record: ConfigurationRecord = {
      revision: base + 1,
      hash,
      file,
      attempts: [{ attempt, revision: base + 1 }, ...(decodeRecord(current)?.attempts ?? [])].slice(0, ATTEMPTS_KEPT),
    };
    return { key: CONFIGURATION_KEY, expected: current?.version ?? 0, value: JSON.stringify(record) };
  };
  const acceptedOutcome = (): ApplyOutcome => {
    revisions.adopt({ revision: base + 1, hash, file }, 'apply');
    return { type: 'accepted', revision: base + 1, hash };
  };
  const resolveOutcome = (current: KeyValueEntry | null): ApplyOutcome => {
    const latest = decodeRecord(current);
    if (latest !== null) revisions.adopt(latest, 'service');
    return revisionOfAttempt(latest, attempt) === undefined ? conflictOutcome(latest, revisions) : acceptedOutcome();
  };
  let operation = createWrite(initial.data);
  const bytes = Buffer.byteLength(operation.value);
  if (bytes > KEY_VALUE_MAX_BYTES) return tooLargeOutcome(bytes);

  let isOutcomeUnknown = false;
  let message: string | null = null;
  while (clock.monotonic() < deadline) {
    opts.onCall('transact');
    const written = await keyValue.transact([operation], callOptions());
    if (written.success) {
      const result = written.data[0]!;
      if (result.applied) return acceptedOutcome();
      // The initial read was outdated if the service already had the revision that this file is based on.
      const wasReadStale = result.current !== null && result.current.version > operation.expected
        && decodeRecord(result.current)?.revision === base;
      if (!wasReadStale) return resolveOutcome(result.current);
      operation = createWrite(result.current);
      continue;
    }
    ({ message } = written.error);
    if (written.error.code === KeyValueErrorCode.OutcomeUnknown) {
      isOutcomeUnknown = true;
      const current = await read();
      // As long as the version is unchanged, the write may still arrive. It is safe to send the same operation again:
      // it is applied at most once, and the attempt id in the record shows whether it was.
      if (current.success && (current.data?.version ?? 0) > operation.expected) return resolveOutcome(current.data);
    }
    await pause();
  }
  if (isOutcomeUnknown) return { type: 'unknown', message: 'the service did not tell whether the file was accepted' };
  if (message !== null) return { type: 'unavailable', message };
  // This process was paused until after the deadline and sent nothing; another file may have been accepted meanwhile.
  opts.onCall('get');
  const latest = await keyValue.get(CONFIGURATION_KEY, { timeoutMs: CALL_TIMEOUT_MS });
  const wasOvertaken = latest.success && (decodeRecord(latest.data)?.revision ?? 0) > base;
  return wasOvertaken
    ? resolveOutcome(latest.data)
    : { type: 'unavailable', message: 'the time ran out before the file was sent' };
}
