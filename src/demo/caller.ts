import { randomUUID } from 'node:crypto';
import { Agent, request } from 'undici';
import { readEvent } from './events.js';
import type { Position, RefusalFields } from './events.js';

/** How one request ended, as its caller sees it. */
export type Ending =
  | { readonly type: 'answered'; readonly text: string }
  | { readonly type: 'refused'; readonly code: string; readonly ran: string }
  /** An accepted request that never ended. */
  | { readonly type: 'cut'; readonly message: string };

/** Ending with its times in ms from the first try. */
export interface Completed {
  readonly ending: Ending;
  readonly firstTokenMs: number | null;
  readonly totalMs: number;
  readonly tokens: number;
  /** Tries after the first one, resumed streams included. */
  readonly retries: number;
}

/** Generation that a caller asks for. */
export interface Generation {
  readonly model: string;
  readonly prompt: string;
  readonly maxTokens: number;
  readonly priority: string;
  readonly workspace: string;
  readonly kind: string;
}

const GIVE_UP_MS = 20_000;

const RETRY_PAUSE_MS = 100;

const DEADLINE_MS = 10_000;

function pause(delayMs: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, delayMs);
  });
}

/** Caller that keeps its address answer for as long as it may and goes on elsewhere when a connection breaks. */
export class Caller {
  private readonly agent = new Agent({ connections: 256, pipelining: 1 });

  private current: { readonly address: string; readonly until: number } | null = null;

  private next = 0;

  public constructor(private readonly seeds: readonly string[], firstSeed: number) {
    this.next = firstSeed;
  }

  /** Streams one answer, resuming at another entry where its stream breaks. */
  public async generate(work: Generation): Promise<Completed> {
    const started = performance.now();
    const position: Position = {
      text: '', tokens: 0, lastEventId: null, firstTokenAt: null, done: false, refusal: null,
    };
    const finish = (ending: Ending, retries: number): Completed => ({
      ending,
      firstTokenMs: position.firstTokenAt === null ? null : position.firstTokenAt - started,
      totalMs: performance.now() - started,
      tokens: position.tokens,
      retries,
    });
    let tries = 0;
    let last: Ending = { type: 'cut', message: 'no try' };
    for (; performance.now() - started < GIVE_UP_MS; tries += 1) {
      const address = await this.address();
      let delayMs = RETRY_PAUSE_MS;
      try {
        const refusal = await this.stream(address, work, position);
        if (position.done) return finish({ type: 'answered', text: position.text }, tries);
        last = { type: 'cut', message: refusal?.code ?? 'the stream ended early' };
        if (refusal !== null && position.tokens === 0) last = { type: 'refused', code: refusal.code, ran: refusal.ran };
        if (refusal?.resumable === false || refusal?.code === 'stream_lost') return finish(last, tries);
        delayMs = Math.max(delayMs, refusal?.retry_after_ms ?? 0);
      } catch (err) {
        last = { type: 'cut', message: err instanceof Error ? err.message : String(err) };
      }
      this.forget(address);
      await pause(delayMs);
    }
    return finish(last, tries);
  }

  /** Calls a plain service; a call with `key` is repeated under that key until its outcome is known. */
  public async call(path: string, body: string, workspace: string, key?: string): Promise<Completed> {
    const started = performance.now();
    const headers = {
      'x-workspace': workspace,
      'x-deadline-ms': String(DEADLINE_MS),
      ...(key === undefined ? {} : { 'idempotency-key': key }),
    };
    let last: Ending = { type: 'cut', message: 'no try' };
    let tries = 0;
    for (; performance.now() - started < GIVE_UP_MS; tries += 1) {
      const address = await this.address();
      let delayMs = RETRY_PAUSE_MS;
      try {
        const res = await request(`http://${address}/v1/call/${path}`, {
          dispatcher: this.agent, method: 'POST', headers, body,
        });
        const text = await res.body.text();
        if (res.statusCode === 200) {
          last = { type: 'answered', text };
          break;
        }
        const { error } = JSON.parse(text) as { error: RefusalFields };
        last = { type: 'refused', code: error.code, ran: error.ran };
        delayMs = Math.max(delayMs, error.retry_after_ms ?? 0);
      } catch (err) {
        last = { type: 'cut', message: err instanceof Error ? err.message : String(err) };
      }
      this.forget(address);
      await pause(delayMs);
    }
    return {
      ending: last, firstTokenMs: null, totalMs: performance.now() - started, tokens: 0, retries: tries,
    };
  }

  public async close(): Promise<void> {
    await this.agent.destroy();
  }

  /** Reads one stream as far as it goes; the result tells why it did not end. */
  private async stream(address: string, work: Generation, position: Position): Promise<RefusalFields | null> {
    const res = await request(`http://${address}/v1/completions`, {
      dispatcher: this.agent,
      method: 'POST',
      headers: {
        'x-priority': work.priority,
        'x-workspace': work.workspace,
        'x-kind': work.kind,
        'x-deadline-ms': String(DEADLINE_MS),
        ...(position.lastEventId === null ? {} : { 'last-event-id': position.lastEventId }),
      },
      body: JSON.stringify({
        model: work.model, prompt: work.prompt, max_tokens: work.maxTokens, stream: true,
      }),
    });
    if (res.statusCode !== 200) return (await res.body.json() as { error: RefusalFields }).error;
    res.body.setEncoding('utf8');
    let rest = '';
    Object.assign(position, { refusal: null });
    for await (const chunk of res.body) {
      const parts = (rest + String(chunk)).split('\n\n');
      rest = parts.pop() ?? '';
      for (const event of parts) readEvent(event, position);
    }
    return position.refusal;
  }

  /** Address to use now; asks another known entry once the kept answer is too old. */
  private async address(): Promise<string> {
    while (this.current === null || performance.now() >= this.current.until) {
      const seed = this.seeds[this.next % this.seeds.length]!;
      this.next += 1;
      try {
        const res = await request(`http://${seed}/address`, { dispatcher: this.agent, headersTimeout: 1_000 });
        const body = await res.body.json() as { address: string; keep_ms: number };
        if (res.statusCode === 200) this.current = { address: body.address, until: performance.now() + body.keep_ms };
      } catch {
        await pause(RETRY_PAUSE_MS / 10);
      }
    }
    return this.current.address;
  }

  private forget(address: string): void {
    if (this.current?.address === address) this.current = null;
  }
}

/** Key of a call that must not run twice. */
export function newKey(): string {
  return randomUUID();
}
