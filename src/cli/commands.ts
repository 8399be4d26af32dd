import { sendEntryRequest } from './client.js';
import type { EntryRequest, NoReply, Reply } from './client.js';
import { safeLoadSettings, safeReadText } from './files.js';
import { ExitCode, failed, invalid } from './outcome.js';
import type { Outcome } from './outcome.js';
import { safeParseFleet } from '../core/configuration/index.js';
import type { Issue } from '../core/issues.js';
import { formatIssue } from '../core/issues.js';
import type { Result } from '../core/result.js';
import type { Secret } from '../core/configuration/index.js';

/** Entry that an operator command is sent to. */
export interface OperatorTarget {
  /** IP address and port of the operator listener. */
  readonly at: string;
  readonly token: Secret;
}

/** Added to the timeout of the entry, so that its response arrives before the command times out. */
const REPLY_MARGIN_MS = 2_000;

const READ_TIMEOUT_MS = 5_000;

/** Outcome of a request without a response; `changes` is true for a request that may change something. */
function noReplyOutcome(reply: NoReply, changes: boolean): Outcome {
  const unknown = changes && reply.sent;
  const effect = unknown ? 'the outcome is unknown; read back what is in force' : 'nothing was changed';
  return failed(unknown ? ExitCode.Unknown : ExitCode.Refused, changes ? `${reply.message}; ${effect}` : reply.message);
}

function refusalText(body: unknown): string {
  const error = (body as { error?: { message?: unknown } } | null)?.error;
  return typeof error?.message === 'string' ? error.message : 'the entry refused';
}

/** Sends a request that changes nothing; `toText` formats the body of a 200 response. */
export async function readFromEntry(req: EntryRequest, toText: (body: unknown) => string): Promise<Outcome> {
  const reply = await sendEntryRequest(req);
  if (!reply.success) return noReplyOutcome(reply.error, false);
  const { status, body } = reply.data;
  if (status !== 200) return { exitCode: ExitCode.Refused, json: body, text: refusalText(body) };
  return { exitCode: ExitCode.Done, json: body, text: toText(body) };
}

/** Part of the prompts to a service. */
export interface PromptPartName {
  readonly service: string;
  readonly part: string;
}

/** Orders a gateway, and through it all others, to keep a prompt part from engines, to let it through, or neither. */
export async function orderPart(at: string, order: string, { service, part }: PromptPartName): Promise<Outcome> {
  const query = new URLSearchParams({ service, part });
  const reply = await sendEntryRequest({
    address: at, method: 'POST', path: `/quarantine/${order}?${query}`, timeoutMs: READ_TIMEOUT_MS,
  });
  if (!reply.success) return noReplyOutcome(reply.error, true);
  const { status, body } = reply.data;
  if (status !== 200) return { exitCode: ExitCode.Refused, json: body, text: refusalText(body) };
  return { exitCode: ExitCode.Done, json: body, text: `${order}: ${service}/${part}` };
}

/** Validates a fleet file or, with `isSettings`, a settings file with its secrets. */
export function check(file: string, isSettings: boolean): Outcome {
  if (isSettings) {
    const loaded = safeLoadSettings(file);
    if (!loaded.success) return invalid(ExitCode.Usage, loaded.error);
    return { exitCode: ExitCode.Done, json: loaded.data.settings, text: `${file}: valid settings` };
  }
  const text = safeReadText(file);
  if (!text.success) return invalid(ExitCode.Usage, text.error);
  const fleet = safeParseFleet(text.data, file);
  if (!fleet.success) return invalid(ExitCode.Refused, fleet.error);
  const { engines, models, servers } = fleet.data;
  const summary = { engines: engines.length, models: models.length, servers: servers.length };
  const counts = `${summary.models} models, ${summary.engines} engines, ${summary.servers} servers of plain services`;
  return { exitCode: ExitCode.Done, json: { valid: true, ...summary }, text: `${file}: valid fleet file with ${counts}` };
}

interface ApplyReply {
  readonly type?: string;
  readonly revision?: number;
  readonly message?: string;
  readonly issues?: readonly Issue[];
}

function applyOutcome(file: string, { status, body }: Reply): Outcome {
  const reply = (typeof body === 'object' && body !== null ? body : {}) as ApplyReply;
  const refused = (text: string): Outcome => ({ exitCode: ExitCode.Refused, json: body, text });
  switch (reply.type) {
    case 'accepted':
      return { exitCode: ExitCode.Done, json: body, text: `accepted as revision ${reply.revision}` };
    case 'unknown':
      return { exitCode: ExitCode.Unknown, json: body, text: `outcome unknown: ${reply.message}` };
    case 'conflict':
      return refused(`refused: revision ${reply.revision} was accepted first`);
    case 'unavailable':
      return refused(`refused: ${reply.message}`);
    case 'invalid':
      return refused((reply.issues ?? []).map((issue) => formatIssue({ ...issue, file })).join('\n'));
    case undefined:
    default:
      // Any other response, except a 4xx status, leaves it unknown whether the file was accepted.
      if (status >= 400 && status < 500) return refused(refusalText(body));
      return { exitCode: ExitCode.Unknown, json: body, text: `outcome unknown: ${refusalText(body)}` };
  }
}

/** Validates a fleet file, then sends it to an entry to put it in force; times in ms. */
export async function apply(
  target: OperatorTarget,
  file: string,
  opts: { readonly base?: number; readonly timeoutMs: number },
): Promise<Outcome> {
  const text = safeReadText(file);
  if (!text.success) return invalid(ExitCode.Usage, text.error);
  const fleet = safeParseFleet(text.data, file);
  if (!fleet.success) return invalid(ExitCode.Refused, fleet.error);
  const base = opts.base === undefined ? '' : `&base=${opts.base}`;
  const reply = await sendEntryRequest({
    address: target.at,
    token: target.token,
    method: 'POST',
    path: `/apply?timeout=${opts.timeoutMs}${base}`,
    body: text.data,
    timeoutMs: opts.timeoutMs + REPLY_MARGIN_MS,
  });
  return reply.success ? applyOutcome(file, reply.data) : noReplyOutcome(reply.error, true);
}

function getRequest(target: OperatorTarget, path: string): EntryRequest {
  return {
    address: target.at, token: target.token, method: 'GET', path, timeoutMs: READ_TIMEOUT_MS,
  };
}

/** Shows the fleet file in force. */
export function show(target: OperatorTarget): Promise<Outcome> {
  return readFromEntry(getRequest(target, '/show'), (body) => {
    const { revision, hash, file } = body as { revision: number; hash: string; file: string };
    return `; revision ${revision}, hash ${hash}\n${file.trimEnd()}`;
  });
}

/** Shows the state dump of one entry. */
export function dump(target: OperatorTarget): Promise<Outcome> {
  return readFromEntry(getRequest(target, '/dump'), (body) => JSON.stringify(body, null, 2));
}

/** Asks an entry for the address of the entry that a caller should use. */
export function address(at: string): Promise<Outcome> {
  const req: EntryRequest = {
    address: at, method: 'GET', path: '/address', timeoutMs: READ_TIMEOUT_MS,
  };
  return readFromEntry(req, (body) => (body as { address: string }).address);
}

/** Starts the planned stop of an entry and waits for its report; fails if requests were cut. */
export async function drain(target: OperatorTarget, timeoutMs: number): Promise<Outcome> {
  const reply: Result<Reply, NoReply> = await sendEntryRequest({
    address: target.at, token: target.token, method: 'POST', path: '/drain', timeoutMs,
  });
  if (!reply.success) return noReplyOutcome(reply.error, true);
  const { status, body } = reply.data;
  if (status !== 200) return { exitCode: ExitCode.Refused, json: body, text: refusalText(body) };
  const report = body as { finished: number; handedOver: number; cut: number; durationMs: number };
  const counts = `${report.finished} finished, ${report.handedOver} handed over, ${report.cut} cut`;
  return {
    exitCode: report.cut === 0 ? ExitCode.Done : ExitCode.Refused,
    json: body,
    text: `stopped after ${Math.round(report.durationMs)} ms: ${counts}`,
  };
}
