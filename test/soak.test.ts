import { mkdtempSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { describe, expect, it } from 'vitest';
import { CallType, expectedBody, findViolations } from '../src/soak/checks.js';
import type {
  Arrival, Bounds, CallRecord, History,
} from '../src/soak/checks.js';
import { planDisturbances } from '../src/soak/plan.js';
import { runSoak } from '../src/soak/run.js';

const BOUNDS: Bounds = {
  drainMs: 2_000, contactMs: 3_000, applyMs: 2_000, graceMs: 4_000,
};

function call(id: string, changes: Partial<CallRecord> = {}): CallRecord {
  const type = changes.type ?? CallType.Order;
  return {
    id,
    type,
    gateway: 'g',
    path: `/${type}/x`,
    sentAt: 10_000,
    endedAt: 10_100,
    status: 200,
    whole: true,
    body: expectedBody(type, id),
    gaveUp: false,
    ...changes,
  };
}

function arrival(id: string, changes: Partial<Arrival> = {}): Arrival {
  return {
    call: id, server: 's', at: 10_010, lagMs: 0, ran: true, ...changes,
  };
}

function codes(changes: Partial<History>): readonly string[] {
  return findViolations({
    calls: [],
    arrivals: [],
    leftAt: new Map(),
    goneAt: new Map(),
    routedAt: new Map(),
    disturbed: new Map(),
    storeDisturbed: [],
    stops: [],
    calmFrom: 100_000,
    ...changes,
  }, BOUNDS).map(({ code }) => code);
}

describe('checks of the soak', () => {
  const leftAt = new Map([['s', 7_900]]);

  // Guards against checks that pass whatever happens.
  it.each<[string, Partial<History>, string]>([
    ['a call at a server that left', { calls: [call('1')], arrivals: [arrival('1')], leftAt }, 'leaving_server_used'],
    ['an order that ran twice', {
      calls: [call('1')], arrivals: [arrival('1'), arrival('1', { server: 't' })],
    }, 'ran_twice'],
    ['an order that was refused and ran', {
      calls: [call('1', { status: 503 })], arrivals: [arrival('1')],
    }, 'refused_but_ran'],
    ['an answer to another call', { calls: [call('1', { body: expectedBody(CallType.Order, '2') })] }, 'wrong_answer'],
    ['a stream without its last event', {
      calls: [call('1', { type: CallType.Talk, body: expectedBody(CallType.Talk, '1').slice(0, -20) })],
    }, 'wrong_answer'],
    ['a call that a planned stop cut', {
      calls: [call('1', { whole: false })],
      arrivals: [arrival('1')],
      stops: [{
        gateway: 'g', at: 9_900, tookMs: 500, exitCode: 0,
      }],
    }, 'cut_by_planned_stop'],
    ['a stop that took too long', {
      stops: [{
        gateway: 'g', at: 9_900, tookMs: 4_100, exitCode: 0,
      }],
    }, 'stop_failed'],
    ['a route that is not in force', {
      calls: [call('1', { status: 404, path: '/new/x' })], routedAt: new Map([['/new/x', 7_000]]),
    }, 'route_missing'],
    ['a call in calm that is not served', {
      calls: [call('1', { status: 502, type: CallType.Look })], calmFrom: 6_000,
    }, 'not_served_in_calm'],
  ])('find %s', (_what, changes, code) => {
    expect(codes(changes)).toEqual([code]);
  });

  it('allow a call at a server that left from a gateway that was disturbed before it', () => {
    const disturbed = new Map([['g', [{ from: 6_000, to: 7_100 }]]]);
    expect(codes({
      calls: [call('1')], arrivals: [arrival('1')], leftAt, disturbed,
    })).toEqual([]);
    expect(codes({
      calls: [call('1')], arrivals: [arrival('1')], leftAt, disturbed: new Map([['g', [{ from: 6_000, to: 7_000 }]]]),
    })).toEqual(['leaving_server_used']);
  });

  it('play the same plan for the same seed', () => {
    expect(planDisturbances(7, 20_000)).toEqual(planDisturbances(7, 20_000));
    expect(planDisturbances(8, 20_000)).not.toEqual(planDisturbances(7, 20_000));
  });
});

describe('a short soak', () => {
  // Seed 500 used a leaving server for 3.5 s: its removal was held back after the cut of one gateway's path.
  it('breaks no promise', async () => {
    const report = await runSoak({
      root: fileURLToPath(new URL('..', import.meta.url)),
      directory: mkdtempSync(join(tmpdir(), 'catkinscale-soak-')),
      seed: 500,
      durationMs: 15_000,
      gateways: 4,
      network: 39,
      say: () => {},
    });
    expect(report.violations).toEqual([]);
    expect(report.disturbances).toBeGreaterThan(10);
    expect(report.served).toBeGreaterThan(100);
  }, 120_000);
});
