import { KEY_VALUE_MAX_BYTES, KeyValueErrorCode } from '../edges/index.js';
import type {
  Clock, KeyValue, KeyValueEntry, Random,
} from '../edges/index.js';
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
  readonly baseRevision: number | undefined;
  readonly timeoutMs: number;
  /** Called before each call to the service. */
  readonly onCall: (method: 'get' | 'transact') => void;
}

function ownRevision(record: ConfigurationRecord | null, attempt: string): number | undefined {
  return record?.attempts.find((item) => item.attempt === attempt)?.revision;
}

function conflict(record: ConfigurationRecord | null, revisions: Revisions): ApplyOutcome {
  const winner = record ?? revisions.inForce();
  return { type: 'conflict', revision: winner?.revision ?? 0, hash: winner?.hash ?? '' };
}

function tooLarge(bytes: number): ApplyOutcome {
  return {
    type: 'invalid',
    issues: [{
      code: 'too_large', path: [], bytes, limitBytes: KEY_VALUE_MAX_BYTES,
    }],
  };
}

/** Writes a checked file as the next revision by one compare-and-swap, and settles a lost answer by read-back. */
export async function applyFile(file: string, opts: ApplyOptions): Promise<ApplyOutcome> {
  const {
    clock, random, keyValue, revisions,
  } = opts;
  const fileBytes = Buffer.byteLength(file);
  if (fileBytes > KEY_VALUE_MAX_BYTES) return tooLarge(fileBytes);
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
  let start = await read();
  while (!start.success && clock.monotonic() < deadline) {
    await pause();
    start = await read();
  }
  if (!start.success) return { type: 'unavailable', message: start.error.message };
  const before = decodeRecord(start.data);
  if (before !== null) revisions.adopt(before, 'service');
  const base = Math.max(before?.revision ?? 0, revisions.revision);
  if (opts.baseRevision !== undefined && opts.baseRevision !== base) return conflict(before, revisions);

  const attempt = random.id();
  const hash = hashFile(file);
  const prepare = (current: KeyValueEntry | null) => {
    const record: ConfigurationRecord = {
      revision: base + 1,
      hash,
      file,
      attempts: [{ attempt, revision: base + 1 }, ...(decodeRecord(current)?.attempts ?? [])].slice(0, ATTEMPTS_KEPT),
    };
    return { key: CONFIGURATION_KEY, expected: current?.version ?? 0, value: JSON.stringify(record) };
  };
  const accepted = (): ApplyOutcome => {
    revisions.adopt({ revision: base + 1, hash, file }, 'apply');
    return { type: 'accepted', revision: base + 1, hash };
  };
  const settle = (current: KeyValueEntry | null): ApplyOutcome => {
    const latest = decodeRecord(current);
    if (latest !== null) revisions.adopt(latest, 'service');
    return ownRevision(latest, attempt) === undefined ? conflict(latest, revisions) : accepted();
  };
  let operation = prepare(start.data);
  const bytes = Buffer.byteLength(operation.value);
  if (bytes > KEY_VALUE_MAX_BYTES) return tooLarge(bytes);

  let uncertain = false;
  let message: string | null = null;
  while (clock.monotonic() < deadline) {
    opts.onCall('transact');
    const written = await keyValue.transact([operation], callOptions());
    if (written.success) {
      const result = written.data[0]!;
      if (result.applied) return accepted();
      // The first read was stale if the service already held the revision that this file is based on.
      const stale = result.current !== null && result.current.version > operation.expected
        && decodeRecord(result.current)?.revision === base;
      if (!stale) return settle(result.current);
      operation = prepare(result.current);
      continue;
    }
    ({ message } = written.error);
    if (written.error.code === KeyValueErrorCode.OutcomeUnknown) {
      uncertain = true;
      const current = await read();
      // While the version is unchanged the write may still arrive. Sending the same operation again is safe: it
      // applies at most once, and the attempt id then shows that it did.
      if (current.success && (current.data?.version ?? 0) > operation.expected) return settle(current.data);
    }
    await pause();
  }
  if (uncertain) return { type: 'unknown', message: 'the service did not tell whether the file was accepted' };
  if (message !== null) return { type: 'unavailable', message };
  // This process was paused until after the deadline, so nothing was sent. The operator may have lost a race meanwhile.
  opts.onCall('get');
  const latest = await keyValue.get(CONFIGURATION_KEY, { timeoutMs: CALL_TIMEOUT_MS });
  const lost = latest.success && (decodeRecord(latest.data)?.revision ?? 0) > base;
  return lost ? settle(latest.data) : { type: 'unavailable', message: 'the time ran out before the file was sent' };
}
