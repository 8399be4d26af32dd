import { Role } from '../../src/core/interfaces/index.js';
import { editFleet } from '../../src/scenario/fleets.js';
import { eventually, startLoopback } from '../support/loopback.js';
import type { Loopback } from '../support/loopback.js';
import { Transcript } from './transcript.js';

/** Session whose transcript is kept in a golden file. */
export interface GoldenSession {
  readonly name: string;
  readonly run: (net: Loopback, transcript: Transcript) => Promise<void>;
}

/** Request that the stand-ins have received. */
export interface EngineRequest {
  readonly path: string;
  readonly body: unknown;
}

const engineRequests: EngineRequest[] = [];

/** Starts the deployment for the golden sessions and waits until each entry is ready and sees both engines. */
export async function startDeployment(): Promise<Loopback> {
  const net = await startLoopback({
    entries: 2,
    firstPort: 25_200,
    record: (req, body) => {
      if (req.method === 'POST' && !(req.url ?? '').startsWith('/v3')) engineRequests.push({ path: req.url ?? '', body });
    },
  });
  await eventually(() => net.processes.every(({ entry }) => entry.ready()));
  await eventually(() => net.processes.every(({ entry }) => (
    JSON.stringify(entry.dump()).match(/"available":true/g)?.length === 2
  )));
  engineRequests.length = 0;
  return net;
}

const completion = (prompt: string, stream: boolean): string => JSON.stringify({
  model: 'advice', prompt, max_tokens: 20, stream,
});

async function answerStreamed(net: Loopback, transcript: Transcript): Promise<void> {
  engineRequests.length = 0;
  await transcript.exchange(net.callers[0]!, {
    method: 'POST', path: '/v1/completions', body: completion('does it fit [answer-tokens=3]', true),
  });
  transcript.add('engine saw', engineRequests.splice(0));
}

async function answerWhole(net: Loopback, transcript: Transcript): Promise<void> {
  await transcript.exchange(net.callers[0]!, {
    method: 'POST',
    path: '/v1/chat/completions',
    headers: { 'x-priority': 'urgent', 'x-deadline-ms': '5000' },
    body: JSON.stringify({
      model: 'advice', messages: [{ role: 'user', content: 'sick hen [answer-tokens=2]' }], max_tokens: 9,
    }),
  });
  await transcript.exchange(net.callers[1]!, { method: 'GET', path: '/v1/models' });
}

async function resumeElsewhere(net: Loopback, transcript: Transcript): Promise<void> {
  const body = completion('write to the shop [answer-tokens=6]', true);
  const first = await fetch(`http://${net.callers[0]}/v1/completions`, {
    method: 'POST', headers: { 'content-type': 'application/json' }, body,
  });
  const text = await first.text();
  const ids = [...text.matchAll(/^id: (.+)$/gm)].map((match) => match[1]!);
  transcript.note('the connection breaks after the event with index 2');
  await transcript.exchange(net.callers[1]!, {
    method: 'POST', path: '/v1/completions', headers: { 'last-event-id': ids[2]! }, body,
  });
  transcript.note('an event id that no entry has signed');
  await transcript.exchange(net.callers[1]!, {
    method: 'POST', path: '/v1/completions', headers: { 'last-event-id': 'e30.AAAA.2' }, body,
  });
}

async function refusals(net: Loopback, transcript: Transcript): Promise<void> {
  const post = (path: string, body: string, headers: Record<string, string> = {}): Promise<unknown> => (
    transcript.exchange(net.callers[0]!, {
      method: 'POST', path, headers, body,
    })
  );
  await post('/v1/completions', '{"model": ');
  await post('/v1/completions', JSON.stringify({ model: 'unheard-of', prompt: 'x' }));
  await post('/v1/completions', completion('x', false), { 'x-priority': 'soon' });
  await post('/v1/completions', completion('x', false), { 'x-workspace': 'nobody' });
  await post('/v1/call/ledger/order', '{"crates":1}');
  await post('/v1/call/ledger/burn', '{}');
  await post('/v1/call/granary/stock', '{}');
  await transcript.exchange(net.callers[0]!, { method: 'GET', path: '/dump' });
  await transcript.exchange(net.operators[0]!, { method: 'GET', path: '/dump' });
}

async function bookingRepeated(net: Loopback, transcript: Transcript): Promise<void> {
  const book = (entry: number, body: string): Promise<unknown> => transcript.exchange(net.callers[entry]!, {
    method: 'POST', path: '/v1/call/ledger/order', headers: { 'idempotency-key': 'golden-1' }, body,
  });
  await book(0, '{"crates":2}');
  transcript.note('the same key at another entry');
  await book(1, '{"crates":2}');
  transcript.note('the same key with another body');
  await book(1, '{"crates":3}');
}

async function operatorLosesRace(net: Loopback, transcript: Transcript): Promise<void> {
  const headers = { authorization: `Bearer ${net.operatorToken}` };
  const base = net.processes[0]!.entry.show()!.revision;
  const changed = editFleet(net.file, 'workspace.default', 'weight', '2');
  const apply = (body: string): Promise<unknown> => transcript.exchange(net.operators[0]!, {
    method: 'POST', path: `/apply?base=${base}`, headers, body,
  });
  await apply(changed);
  transcript.note('a second operator who had read the same revision');
  await apply(editFleet(net.file, 'workspace.default', 'weight', '3'));
  transcript.note('a file with two mistakes');
  await apply(editFleet(editFleet(net.file, 'engine.e0', 'fencing', 'sometimes'), 'engine.e1', 'colour', 'red'));
  await eventually(() => net.processes[1]!.entry.show()!.revision > base);
}

async function roleChange(net: Loopback, transcript: Transcript): Promise<void> {
  engineRequests.length = 0;
  const file = editFleet(net.processes[0]!.entry.show()!.file, 'engine.e1', 'role', 'decode');
  const outcome = await net.processes[0]!.entry.apply(file, undefined, 5_000);
  transcript.add('operator saw', outcome.type);
  const engine = net.standIns.engines.get('e1')!;
  await eventually(() => engine.model.role === Role.Decode, 15_000);
  transcript.add('engine saw', engineRequests.splice(0).filter(({ path }) => path === '/admin/orders'));
}

async function plannedStop(net: Loopback, transcript: Transcript): Promise<void> {
  const drained = transcript.exchange(net.operators[0]!, {
    method: 'POST', path: '/drain', headers: { authorization: `Bearer ${net.operatorToken}` },
  });
  transcript.note('the address call at the other entry does not name the entry that leaves');
  await eventually(() => {
    const answers = Array.from({ length: 10 }, () => net.processes[1]!.entry.address());
    return answers.every((answer) => answer.success && answer.data.address === net.callers[1]);
  });
  await transcript.exchange(net.callers[0]!, {
    method: 'POST', path: '/v1/completions', body: completion('still served [answer-tokens=1]', false),
  });
  await drained;
}

/** Replaces each value by the name of its type, and keeps only the first element of arrays. */
function shapeOf(value: unknown): unknown {
  if (Array.isArray(value)) return value.length === 0 ? [] : [shapeOf(value[0])];
  if (typeof value !== 'object' || value === null) return value === null ? 'null' : typeof value;
  return Object.fromEntries(Object.entries(value).map(([key, inner]) => [key, shapeOf(inner)]));
}

async function dump(net: Loopback, transcript: Transcript): Promise<void> {
  // The values depend on traffic and on which process plans the fleet, so only the structure is compared.
  const dumps = net.processes.map(({ entry }) => entry.dump());
  transcript.add('parts', Object.keys(dumps[0]!));
  transcript.add('configuration', shapeOf(dumps[0]!.configuration));
  transcript.add('authority keys', Object.keys(dumps[0]!.authority as object));
  transcript.add('bookings', shapeOf(dumps[0]!.bookings));
}

/** Sessions in the order in which they run against one deployment; the planned stop is last, as it ends an entry. */
export const SESSIONS: readonly GoldenSession[] = [
  { name: 'answer-streamed', run: answerStreamed },
  { name: 'answer-whole', run: answerWhole },
  { name: 'resume-elsewhere', run: resumeElsewhere },
  { name: 'refusals', run: refusals },
  { name: 'booking-repeated', run: bookingRepeated },
  { name: 'operator-loses-race', run: operatorLosesRace },
  { name: 'role-change', run: roleChange },
  { name: 'dump', run: dump },
  { name: 'planned-stop', run: plannedStop },
];

/** Runs all sessions and returns their transcripts by name. */
export async function runSessions(): Promise<Map<string, string>> {
  const net = await startDeployment();
  const texts = new Map<string, string>();
  try {
    for (const session of SESSIONS) {
      const transcript = new Transcript();
      await session.run(net, transcript);
      texts.set(session.name, transcript.render());
    }
  } finally {
    await net.stop();
  }
  return texts;
}
