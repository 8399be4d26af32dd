import { EventEmitter } from 'node:events';
import type { IncomingMessage } from 'node:http';
import { describe, expect, it } from 'vitest';
import { BodyReceiver } from '../src/daemon/bodies.js';
import { SimulatedClock } from '../src/emulator/clock.js';

const LIMITS = { total: 1_000_000, body: 200_000, stallMs: 5_000 };

/** Request whose body the test sends piece by piece. */
class FakeRequest extends EventEmitter {
  public complete = false;

  public destroyed = false;

  public readonly socket = Object.assign(new EventEmitter(), {
    destroyed: false,
    destroy: () => {
      this.socket.destroyed = true;
    },
  });

  public constructor(public readonly headers: Record<string, string> = {}) {
    super();
  }

  public resume(): void {
    this.emit('resumed');
  }

  public send(bytes: number, chunk = bytes): this {
    for (let sent = 0; sent < bytes; sent += chunk) this.emit('data', Buffer.alloc(Math.min(chunk, bytes - sent), 'x'));
    return this;
  }

  public end(): void {
    this.complete = true;
    this.emit('end');
  }
}

function start(limits = LIMITS): {
  readonly clock: SimulatedClock;
  readonly bodies: BodyReceiver;
  readonly receive: (req: FakeRequest) => ReturnType<BodyReceiver['receive']>;
} {
  const clock = new SimulatedClock();
  const bodies = new BodyReceiver({ ...limits }, { clock, collectChunks: () => {} });
  return { clock, bodies, receive: (req) => bodies.receive(req as unknown as IncomingMessage) };
}

describe('bodies of callers', () => {
  it.each([[1, 1], [1_024, 100], [16_385, 7], [200_000, 65_536]])('of %i bytes in pieces of %i arrive unchanged', async (size, chunk) => {
    const { receive } = start();
    const req = new FakeRequest();
    const body = receive(req);
    req.send(size, chunk).end();
    const received = await body;
    expect(received.success && received.data.equals(Buffer.alloc(size, 'x'))).toBe(true);
  });

  // Guards against a limit that counts the bytes of small chunks but not what each of them costs.
  it('take at most a block more than their bytes, however small the chunks are', () => {
    const { bodies, receive } = start();
    const req = new FakeRequest();
    void receive(req);
    req.send(100_000, 1);
    expect(bodies.used).toBeLessThanOrEqual(100_000 + 16_384);
  });

  // Guards against bodies that no limit counts once their calls wait or run.
  it('count until their call has ended', async () => {
    const { bodies, receive } = start();
    const req = new FakeRequest({ 'content-length': '5000' });
    const body = receive(req);
    req.send(5_000).end();
    await body;
    expect(bodies.used).toBe(5_000);
    bodies.release(req as unknown as IncomingMessage);
    expect(bodies.used).toBe(0);
  });

  // Guards against memory that stays counted because its call ended before its body did.
  it('count no longer once their call has ended, even if they arrive later', async () => {
    const { bodies, receive } = start();
    const req = new FakeRequest();
    const body = receive(req);
    req.send(1_000);
    bodies.release(req as unknown as IncomingMessage);
    req.send(1_000).end();
    await body;
    expect(bodies.used).toBe(0);
  });

  // Guards against clients that never finish their bodies and keep out ordinary callers.
  it('of ordinary size arrive while unfinished ones take all memory', async () => {
    const { bodies, receive } = start();
    const crowd = Array.from({ length: 12 }, () => new FakeRequest());
    const ends = crowd.map((req) => receive(req));
    for (const req of crowd) req.send(150_000, 1_000);
    expect(bodies.used).toBeLessThanOrEqual(LIMITS.total);
    const ordinary = new FakeRequest();
    const body = receive(ordinary);
    ordinary.send(9_000).end();
    expect(await body).toMatchObject({ success: true });
    const refused = await Promise.race([...ends, Promise.resolve(null)]);
    expect(refused).toMatchObject({ success: false, error: { code: 'overloaded' } });
  });

  // Guards against a largest allowed body that the memory limit never lets through.
  it('of the largest size arrive although the listener has memory for three only', async () => {
    const { receive } = start({ ...LIMITS, total: 600_000 });
    const req = new FakeRequest();
    const body = receive(req);
    req.send(200_000, 1_000).end();
    expect(await body).toMatchObject({ success: true });
  });

  it('that make no progress are refused, slow ones are not', async () => {
    const { clock, receive } = start();
    const [stalled, slow] = [new FakeRequest(), new FakeRequest()];
    const results = [receive(stalled), receive(slow)];
    stalled.send(10);
    for (let second = 0; second < 12; second += 2) {
      slow.send(1);
      clock.advanceSync(2_000);
    }
    expect(await results[0]).toEqual({ success: false, error: { code: 'request_timeout' } });
    slow.end();
    expect(await results[1]).toMatchObject({ success: true });
  });

  // Guards against a client that keeps the process busy with a body that was refused.
  it.each([
    ['sends on', (req: FakeRequest) => req.send(300_000, 1_000)],
    ['stays open', (_req: FakeRequest, clock: SimulatedClock) => clock.advanceSync(3_000)],
  ])('that were refused are cut off when the client %s', async (_name, act) => {
    const { clock, receive } = start();
    const req = new FakeRequest({ 'content-length': '900000' });
    expect(await receive(req)).toMatchObject({ success: false, error: { code: 'body_too_large' } });
    act(req, clock);
    expect(req.socket.destroyed).toBe(true);
  });
});
