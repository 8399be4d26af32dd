import {
  afterAll, beforeAll, describe, expect, it, vi,
} from 'vitest';
import { HttpEngine } from '../src/adapters/engine.js';
import { EngineErrorCode } from '../src/core/interfaces/index.js';
import { fail } from '../src/core/result.js';
import { answerText } from '../src/emulator/text.js';
import { eventually, startLoopback } from './support/loopback.js';
import type { Loopback } from './support/loopback.js';

let net: Loopback;

beforeAll(async () => {
  net = await startLoopback({ entries: 3, firstPort: 25_100 });
  await eventually(() => net.processes.every(({ entry }) => entry.ready()));
  const enginesKnown = (): boolean => net.processes.every(({ entry }) => (
    JSON.stringify(entry.dump()).match(/"available":true/g)?.length === 2
  ));
  await eventually(enginesKnown);
});

afterAll(() => net.stop());

function post(entry: number, path: string, body: unknown, headers: Record<string, string> = {}): Promise<Response> {
  return fetch(`http://${net.callers[entry]}${path}`, {
    method: 'POST',
    headers: { 'content-type': 'application/json', ...headers },
    body: JSON.stringify(body),
  });
}

interface Event {
  readonly id: string;
  readonly text: string;
}

function parseEvents(text: string): Event[] {
  return text.split('\n\n').filter((part) => part.includes('id: ')).map((part) => {
    const id = /^id: (.*)$/m.exec(part)?.[1] ?? '';
    const data = JSON.parse(/^data: (.*)$/m.exec(part)?.[1] ?? '{}') as { choices?: { text?: string }[] };
    return { id, text: data.choices?.[0]?.text ?? '' };
  });
}

describe('entries, engines and services over loopback connections', () => {
  it('stream a complete answer from an engine to a caller', async () => {
    const prompt = 'does pattern 7 fit [answer-tokens=12]';
    const res = await post(0, '/v1/completions', {
      model: 'advice', prompt, max_tokens: 50, stream: true,
    });
    expect(res.status).toBe(200);
    const events = parseEvents(await res.text());
    expect(events.map(({ text }) => text).join('')).toBe(answerText(prompt, 50));
  });

  // Guards against a request that comes back to a full engine at once, although others may have room.
  it('send a request again to an engine that has refused it only after the time that the engine asked for', async () => {
    const sentAt = new Map<string, number[]>();

    const { generate } = HttpEngine.prototype;
    const spy = vi.spyOn(HttpEngine.prototype, 'generate').mockImplementation(function send(this: HttpEngine, ...args) {
      const times = sentAt.get(this.name) ?? [];
      sentAt.set(this.name, [...times, performance.now()]);
      return times.length > 0 ? generate.apply(this, args)
        : Promise.resolve(fail({ code: EngineErrorCode.Refused, message: 'full', retryAfterMs: 500 }));
    });
    const res = await post(0, '/v1/completions', { model: 'advice', prompt: 'which hem [answer-tokens=3]', max_tokens: 5 });
    spy.mockRestore();
    expect(res.status).toBe(200);
    const gaps = [...sentAt.values()].flatMap(([first, second]) => (second === undefined ? [] : [second - first!]));
    expect(gaps).toHaveLength(1);
    expect(gaps[0]).toBeGreaterThan(490);
  });

  // Guards against answers that are lost with the entry that started them.
  it('continue an answer at another entry without running the prompt again', async () => {
    const prompt = 'long reply please [answer-tokens=30]';
    const body = {
      model: 'advice', prompt, max_tokens: 50, stream: true,
    };
    const first = await post(0, '/v1/completions', body);
    const reader = first.body!.getReader();
    let text = '';
    while (parseEvents(text).length < 5) text += new TextDecoder().decode((await reader.read()).value);
    await reader.cancel();
    const seen = parseEvents(text);
    const second = await post(1, '/v1/completions', body, { 'last-event-id': seen.at(-1)!.id });
    expect(second.status).toBe(200);
    const rest = parseEvents(await second.text());
    expect([...seen, ...rest].map((event) => event.text).join('')).toBe(answerText(prompt, 50));
    const runs = [...net.standIns.engines.values()].map(({ startsByRequest: started }) => [...started.values()]).flat();
    expect(Math.max(...runs)).toBe(1);
  });

  it('run a non-idempotent call once and return its stored outcome at another entry', async () => {
    const headers = { 'idempotency-key': 'order-1' };
    const first = await post(0, '/v1/call/ledger/order', { crates: 1 }, headers);
    const second = await post(2, '/v1/call/ledger/order', { crates: 1 }, headers);
    expect([first.status, second.status]).toEqual([200, 200]);
    expect(await second.text()).toBe(await first.text());
    expect([...net.standIns.ledgers.get('ledger')!.runs.values()]).toEqual([1]);
  });

  it('answer /address with a live entry and a time to cache the answer', async () => {
    const res = await fetch(`http://${net.callers[1]}/address`);
    const answer = await res.json() as { address: string; keep_ms: number };
    expect(net.callers).toContain(answer.address);
    expect(answer.keep_ms).toBe(200);
  });

  it('have the same fleet file in force at every entry', () => {
    const files = net.processes.map(({ entry }) => entry.show()?.file);
    expect(files).toEqual([net.file, net.file, net.file]);
  });
});
