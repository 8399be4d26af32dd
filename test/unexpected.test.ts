import { setTimeout as wait } from 'node:timers/promises';
import { describe, expect, it } from 'vitest';
import { platformCodec } from '../platform/index.js';
import { keepRunning, runTogether } from '../src/core/unexpected.js';
import { SystemClock } from '../src/adapters/system.js';
import { listenHttp, sendJson } from '../src/daemon/http.js';
import { Metrics } from '../src/daemon/metrics.js';
import { sendSignedResponse, ServerStandIn } from '../src/emulator/backend.js';
import { StoreStandIn } from '../src/emulator/platformstore.js';
import { sendCall } from '../src/emulator/sendcall.js';
import { configuration, startGateway } from './support/gateway.js';
import { silentLog } from './support/loopback.js';
import { waitUntil } from './support/waituntil.js';

const LIMITS = { body: 1_024, connections: 10, headerTimeout: 1_000 };

describe('an exception that no code expects', () => {
  // Guards against a process that one request ends, with the requests of all other callers.
  it('ends only its request at a listener', async () => {
    const reported: unknown[] = [];
    const listener = await listenHttp('127.0.0.1:0', async (req, res) => {
      req.resume();
      if (req.url === '/begun') res.write('{');
      if (req.url !== '/sound') throw new Error('odd');
      sendJson(res, 200, {});
    }, LIMITS, { onUnexpected: (err) => reported.push(err) });
    if (!listener.success) throw new Error(listener.error.message);
    const { address, destroy } = listener.data;
    expect(await sendCall(address, '/odd')).toMatchObject({ status: 500, broken: false });
    expect((await sendCall(address, '/begun')).broken).toBe(true);
    expect(await sendCall(address, '/sound')).toMatchObject({ status: 200, broken: false });
    expect(reported).toHaveLength(2);
    destroy();
  });

  it('is reported, and its loop begins again until it is stopped', async () => {
    const meter = new Metrics();
    const lines: unknown[] = [];
    const log = { ...silentLog, warn: (event: string, fields?: object) => lines.push({ event, ...fields }) };
    const stop = new AbortController();
    let starts = 0;
    const running = keepRunning({ clock: new SystemClock(), log, meter }, 'odd', async () => {
      starts += 1;
      throw new Error('cause');
    }, stop.signal);
    await waitUntil(() => starts === 2);
    stop.abort();
    await running;
    expect(lines[0]).toMatchObject({ event: 'unexpected_error', task: 'odd', stack: expect.stringContaining('cause') });
    expect(meter.render()).toContain('unexpected_errors');
  });

  // Guards against a second instance of a loop beside the first one, after another loop has thrown.
  it('stops the loops beside its own before they begin again together', async () => {
    let running = 0;
    const together = runTogether(new AbortController().signal, [
      async () => {
        throw new Error('odd');
      },
      async (signal) => {
        running += 1;
        while (!signal.aborted) await wait(5);
        running -= 1;
      },
    ]);
    await expect(together).rejects.toThrow('odd');
    expect(running).toBe(0);
  });
});

describe('a gateway whose codec throws', () => {
  // Guards against an exception over one entry, call or answer that ends the process or a loop.
  it('leaves out the entry, ends the call and serves all others', async () => {
    const store = new StoreStandIn();
    await store.start();
    const server = new ServerStandIn('i-1', (res) => sendSignedResponse(res, 'done'));
    await server.start();
    store.put('servers/i-0', 'odd');
    store.put('servers/i-1', server.serverRecord('ledger'));
    store.put('op/config', configuration());
    const meter = new Metrics();
    const throwing = <T extends unknown[], R>(isOdd: (...args: T) => boolean, call: (...args: T) => R) => (
      (...args: T): R => {
        if (isOdd(...args)) throw new Error('odd');
        return call(...args);
      }
    );
    const gateway = await startGateway(store, 21_910, {
      meter,
      codec: {
        ...platformCodec,
        readServer: throwing((key) => key === 'servers/i-0', platformCodec.readServer),
        sendHeaders: throwing((call) => call.target === '/safe/odd', platformCodec.sendHeaders),
        readHead: throwing((call) => call.target === '/safe/answer', platformCodec.readHead),
      },
    });
    await waitUntil(() => gateway.gateway.ready());
    for (let sent = 0; sent < 10; sent += 1) {
      expect((await sendCall(gateway.callers, '/safe/odd')).status).toBe(502);
      expect((await sendCall(gateway.callers, '/safe/answer')).status).toBe(502);
    }
    store.put('servers/i-0', server.serverRecord('later'));
    store.put('servers/i-2', server.serverRecord('later'));
    await waitUntil(() => JSON.stringify(gateway.gateway.dump().servers).includes('"i-2"'));
    expect(await sendCall(gateway.callers, '/safe/sound')).toMatchObject({ status: 200, body: 'done' });
    const { own } = gateway.gateway.dump().occupancy as { own: object };
    expect(own).toEqual({});
    expect(meter.render()).toContain('unexpected_errors');
    await gateway.stop();
    server.stop();
    store.stop();
  });
});
