import { EventEmitter } from 'node:events';
import type { Socket } from 'node:net';
import { describe, expect, it } from 'vitest';
import { ConnectionLimiter } from '../src/daemon/connectionlimiter.js';
import { SimulatedClock } from '../src/emulator/clock.js';

class FakeSocket extends EventEmitter {
  public destroyed = false;

  public destroy(): void {
    this.destroyed = true;
  }
}

function open(limiter: ConnectionLimiter): FakeSocket & Socket {
  const socket = new FakeSocket() as FakeSocket & Socket;
  limiter.add(socket);
  return socket;
}

function begin(limiter: ConnectionLimiter, socket: Socket): void {
  limiter.begin(socket);
  limiter.run(socket);
}

describe('connections over the limit', () => {
  // Guards against clients that hold all connections and keep out callers.
  it('replace the oldest one without a complete request', () => {
    const limiter = new ConnectionLimiter(2, new SimulatedClock());
    const [silent, busy] = [open(limiter), open(limiter)];
    begin(limiter, busy);
    const caller = open(limiter);
    expect([silent.destroyed, busy.destroyed, limiter.isRefused(caller)]).toEqual([true, false, false]);
  });

  it('replace one that has been idle for long, not one that was just used', () => {
    const clock = new SimulatedClock();
    const limiter = new ConnectionLimiter(1, clock);
    const served = open(limiter);
    begin(limiter, served);
    limiter.end(served, true);
    expect(limiter.isRefused(open(limiter))).toBe(true);
    clock.advanceSync(1_000);
    expect(limiter.isRefused(open(limiter))).toBe(false);
    expect(served.destroyed).toBe(true);
  });

  it('are refused while requests run on all others', () => {
    const limiter = new ConnectionLimiter(1, new SimulatedClock());
    const busy = open(limiter);
    begin(limiter, busy);
    expect(limiter.isRefused(open(limiter))).toBe(true);
    expect(busy.destroyed).toBe(false);
  });

  it('do not count once they are closed', () => {
    const limiter = new ConnectionLimiter(1, new SimulatedClock());
    const first = open(limiter);
    begin(limiter, first);
    first.emit('close');
    expect(limiter.isRefused(open(limiter))).toBe(false);
  });
});

describe('a connection', () => {
  // Guards against one client that starts any number of requests at once.
  it('is full with 16 unanswered requests', () => {
    const limiter = new ConnectionLimiter(1, new SimulatedClock());
    const socket = open(limiter);
    for (let count = 0; count < 15; count += 1) limiter.begin(socket);
    expect(limiter.isFull(socket)).toBe(false);
    limiter.begin(socket);
    expect(limiter.isFull(socket)).toBe(true);
    limiter.end(socket, true);
    expect(limiter.isFull(socket)).toBe(false);
  });
});
