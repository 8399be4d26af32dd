import type { ExplainedServer, ExplainedStep, Explanation } from '../gateway/explanation.js';
import { readFromEntry } from './commands.js';
import type { Outcome } from './outcome.js';

/** Call that the command asks about; sizes in tokens. */
export interface ExplainArguments {
  readonly host: string;
  readonly target: string;
  readonly workspace?: string | undefined;
  readonly prompt?: number | undefined;
  readonly output?: number | undefined;
  /** Parts of the prompt as `ID:TOKENS`, separated by commas. */
  readonly parts?: string | undefined;
  /** Request id of the attempt that began the stream that the caller takes up. */
  readonly resumes?: string | undefined;
}

const TIMEOUT_MS = 5_000;

const MS_PER_S = 1_000;

function describeServer({
  server, failureDomain, softwareVersion, open, limit, suspect, pausedMs, preferred,
}: ExplainedServer): string {
  const paused = pausedMs === null ? '' : `paused for ${(pausedMs / MS_PER_S).toFixed(2)} s`;
  const notes = [preferred ? 'preferred' : '', suspect ? 'avoided' : '', paused, open >= limit ? 'full' : '']
    .filter((note) => note !== '');
  return `    ${server} (${failureDomain}, ${softwareVersion}) ${open} of ${limit} open${notes.length === 0 ? '' : `, ${notes.join(', ')}`}`;
}

function describeStep({
  step, servers, waiting, placesAreOwned,
}: ExplainedStep): string {
  const how = placesAreOwned ? ', the gateway that gives out the places decides' : '';
  const lines = servers.length === 0 ? ['    no server'] : servers.map(describeServer);
  return [`  ${step}: ${waiting} waiting${how}`, ...lines].join('\n');
}

/** Formats an explanation for a person. */
export function formatExplanation({
  refusal, route, workspace, rank, service, softwareVersion, destinations, steps, retriesLeft, beliefs,
}: Explanation): string {
  const retry = refusal === null || refusal.retryAfterMs === null
    ? '' : `, again after ${(refusal.retryAfterMs / MS_PER_S).toFixed(2)} s`;
  const answer = refusal === null ? 'would be sent' : `would be refused: ${refusal.status} ${refusal.code}${retry}`;
  const lines = [
    answer,
    `  route: ${route ?? 'none'}${workspace === null ? '' : `, workspace ${workspace}`}${rank === null ? '' : `, rank ${rank}`}`,
  ];
  if (service !== null) {
    const shares = destinations.map(({ service: name, weight }) => `${name} ${weight}`).join(', ');
    lines.push(`  service: ${service}, drawn from ${shares}; ${retriesLeft ?? 0} retries left`);
  }
  if (softwareVersion !== null) lines.push(`  stream: goes on at ${softwareVersion} only`);
  lines.push(...steps.map(describeStep));
  const heard = Math.round(beliefs.heardShare * 100);
  lines.push(`  believed: configuration ${beliefs.configurationVersion ?? 'none'}, servers ${beliefs.recordsAgeMs} ms old, ${heard}% of the gateways heard`);
  return lines.join('\n');
}

/** Asks a gateway where a call would go now, and why; nothing is sent to a backend server. */
export function explain(at: string, {
  host, target, workspace, prompt, output, parts, resumes,
}: ExplainArguments): Promise<Outcome> {
  const given = Object.entries({
    host, target, workspace, prompt, output, parts, resumes,
  }).flatMap(([name, value]) => (value === undefined ? [] : [[name, String(value)] as [string, string]]));
  return readFromEntry({
    address: at, method: 'GET', path: `/explain?${new URLSearchParams(given)}`, timeoutMs: TIMEOUT_MS,
  }, (body) => formatExplanation(body as Explanation));
}
