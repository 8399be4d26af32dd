import { describe, expect, it } from 'vitest';
import { Role } from '../src/core/interfaces/index.js';
import { SimulatedClock } from '../src/emulator/clock.js';
import { CallKind, chooseDestination, RouteTable } from '../src/gateway/configuration.js';
import type { Route } from '../src/gateway/configuration.js';
import { ConnectionPool } from '../src/gateway/connections.js';
import { BackendServer } from '../src/gateway/fleet.js';
import {
  suspectFailedHandovers, mayTakeLateCall, selectPreferredEngines, pickLeastOccupied, withRole,
} from '../src/gateway/placement.js';
import type { Candidate } from '../src/gateway/placement.js';
import { planRoles, surplusDecoders } from '../src/gateway/rolebalancer.js';
import type { ServerRecord } from '../src/gateway/serverregistry.js';
import { createServerRecord } from './support/serverrecord.js';

function route(name: string, pathPrefix: string, destinations = [{ service: 'ledger', weight: 1 }]): Route {
  return {
    name,
    host: 'shop.example',
    pathPrefix,
    kind: CallKind.Idempotent,
    timeoutMs: 1_000,
    targetMs: 100,
    maxAttempts: 1,
    priority: 0,
    resumable: false,
    isPublic: false,
    destinations,
  };
}

function candidate(id: string, open: number, changes: Partial<Candidate> = {}): Candidate {
  return {
    record: createServerRecord(id), open, limit: 10, suspect: false, pausedUntil: null, ...changes,
  };
}

describe('RouteTable', () => {
  const table = new RouteTable({
    version: 1,
    routes: [route('short', '/a/'), route('long', '/a/b/'), { ...route('other', '/a/b/c/'), host: 'other.example' }],
    services: new Map(),
    limits: {
      headerBytes: 1, bodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1,
    },
    workspaces: null,
  });

  // Guards against calls of a route that go to the service of a route with a shorter prefix.
  it('selects the longest matching prefix of the host and ignores the port and case of the host name', () => {
    expect(table.find('shop.example', '/a/b/c/d?x=/')?.name).toBe('long');
    expect(table.find('SHOP.example:8000', '/a/x')?.name).toBe('short');
  });

  it('finds no route for another host, or for a path that only resembles a prefix', () => {
    expect(table.find('nowhere.example', '/a/b/')).toBeNull();
    expect(table.find('shop.example', '/a')).toBeNull();
    expect(table.find('shop.example', '/?/a/b/')).toBeNull();
  });

  it('divides calls between destinations by their weights', () => {
    const split = route('split', '/a/', [{ service: 'x', weight: 90 }, { service: 'y', weight: 10 }]);
    expect([0, 0.89, 0.91, 0.999].map((draw) => chooseDestination(split, draw))).toEqual(['x', 'x', 'y', 'y']);
    expect(chooseDestination(route('none', '/a/', []), 0.5)).toBeNull();
  });
});

describe('placement', () => {
  const draw = (): number => 0;

  // Guards against calls that go to servers that are full or failing while another one has room.
  it('picks the least occupied server that is not suspect', () => {
    const all = [
      candidate('a', 3), candidate('b', 1, { suspect: true }), candidate('c', 2), candidate('d', 0, { limit: 0 }),
    ];
    expect(pickLeastOccupied(all, 'brandon', draw)?.record.id).toBe('c');
    expect(pickLeastOccupied([all[1]!], 'brandon', draw)?.record.id).toBe('b');
    expect(pickLeastOccupied([all[3]!], 'brandon', draw)).toBeNull();
  });

  it('prefers its own failure domain among equally occupied servers', () => {
    const near = { ...candidate('b', 2), record: createServerRecord('b', { failureDomain: 'brandon' }) };
    expect(pickLeastOccupied([candidate('a', 2), near], 'brandon', draw)?.record.id).toBe('b');
  });

  // Guards against a fleet that prefills all shared parts again when one engine joins or leaves.
  it('reassigns only the shared parts of an engine that leaves', () => {
    const all = ['a', 'b', 'c', 'd'].map((id) => candidate(id, 0));
    const parts = Array.from({ length: 200 }, (_, index) => `part${index}`);
    const before = parts.map((part) => selectPreferredEngines(all, part, 1)[0]);
    const after = parts.map((part) => selectPreferredEngines(all.slice(0, 3), part, 1)[0]);
    expect(parts.filter((_, index) => before[index] !== 'd' && before[index] !== after[index])).toEqual([]);
    expect(new Set(before).size).toBe(4);
  });

  // Guards against late calls that fill an engine just before an on-time call arrives, or that an engine with one slot
  // never serves.
  it('keeps a slot for on-time calls, and one for each that waits at another gateway', () => {
    const may = (open: number, limit: number, waiting: number): boolean => mayTakeLateCall({ open, limit }, waiting);
    expect([may(3, 4, 0), may(2, 4, 0), may(2, 4, 1), may(0, 4, 2)]).toEqual([false, true, false, true]);
    expect([may(0, 1, 0), may(0, 1, 1), may(1, 1, 0)]).toEqual([true, false, false]);
  });

  // Guards against avoiding all prefill engines where the decoders that should continue are at fault.
  it('suspects engines whose handovers fail, unless they are half of the engines or more', () => {
    const all = ['a', 'b', 'c', 'd'].map((id) => candidate(id, 0));
    const suspects = (names: string): string => suspectFailedHandovers(all, ({ record }) => names.includes(record.id))
      .filter(({ suspect }) => suspect).map(({ record }) => record.id).join('');
    expect([suspects(''), suspects('b'), suspects('ab'), suspects('abcd')]).toEqual(['', 'b', '', '']);
  });

  it('omits engines of another role', () => {
    const decoder = { ...candidate('a', 0), record: createServerRecord('a', { role: Role.Decode }) };
    expect(withRole([decoder, candidate('b', 0)], Role.Prefill).map(({ record }) => record.id)).toEqual(['b']);
  });
});

describe('planRoles', () => {
  const engines = (prefill: number, decode: number): ServerRecord[] => [
    ...Array.from({ length: prefill }, (_, index) => createServerRecord(`p${index}`, { role: Role.Prefill })),
    ...Array.from({ length: decode }, (_, index) => createServerRecord(`d${index}`, { role: Role.Decode })),
  ];

  it('turns surplus decoders into prefillers', () => {
    const changes = planRoles(engines(3, 7), () => true, 0);
    expect(changes.map(({ role }) => role)).toEqual([Role.Prefill, Role.Prefill, Role.Prefill]);
  });

  // Guards against engines that refuse all calls for as long as their streams still run.
  it('changes no engine that has open calls', () => {
    expect(planRoles(engines(3, 7), ({ id }) => id === 'd6', 0).map(({ server: { id } }) => id)).toEqual(['d6']);
  });

  // Guards against decoders that are gone for good while the streams of the remaining ones fill all their slots.
  it('replaces decoders that have been missing for longer than a restart after a crash takes', () => {
    expect(planRoles(engines(7, 3), () => true, 1_000)).toEqual([]);
    const restored = planRoles(engines(8, 2), () => true, 3_000).map(({ role }) => role);
    expect(restored).toEqual([Role.Decode, Role.Decode]);
  });

  it('keeps at least one prefill engine', () => {
    expect(planRoles(engines(2, 0), () => true, 3_000)).toHaveLength(1);
  });
});

describe('BackendServer', () => {
  function start() {
    const clock = new SimulatedClock();
    return { clock, engine: new BackendServer(new ConnectionPool('127.0.0.1:1'), clock) };
  }

  // Guards against a server that refuses all calls, therefore has no open ones, and so gets every call.
  it('is avoided after two refusals, longer each time, and then probed by one call', async () => {
    const { clock, engine } = start();
    engine.refused();
    expect(engine.suspect).toBe(false);
    engine.refused();
    expect(engine.suspect).toBe(true);
    await clock.advance(101);
    expect(engine.suspect).toBe(false);
    const probe = engine.countProbe();
    expect(engine.suspect).toBe(true);
    probe.dispose();
    engine.refused();
    await clock.advance(150);
    expect(engine.suspect).toBe(true);
    engine.succeeded();
    expect(engine.suspect).toBe(false);
  });

  // Guards against a server that is avoided without a log line, or with one for each call.
  it('reports once that avoidance begins, and whether for calls or handovers', async () => {
    const clock = new SimulatedClock();
    const reports: unknown[] = [];
    const engine = new BackendServer(new ConnectionPool('127.0.0.1:1'), clock, (...details) => reports.push(details));
    for (let failures = 0; failures < 3; failures += 1) engine.refused();
    for (let failures = 0; failures < 2; failures += 1) engine.handovers.failed();
    expect(reports).toEqual([['calls', 2, 100], ['handovers', 2, 100]]);
    await clock.advance(2_000);
    engine.wasUnreachable();
    expect(reports.at(-1)).toEqual(['calls', 4, 1_200]);
  });

  it('is avoided at once when it can not be reached or does not answer', () => {
    const { engine } = start();
    engine.wasUnreachable();
    expect(engine.suspect).toBe(true);
  });
});

describe('decoders beyond the target', () => {
  const engines = (roles: readonly Role[]): ServerRecord[] => roles.map((role, index) => (
    createServerRecord(`e${index}`, { role, bornAt: index })
  ));

  // Guards against gateways that send work to an engine whose role another gateway changes.
  it('are the newest, the same at every gateway, and the only ones that change where servers are ordered', () => {
    const servers = engines([...Array.from({ length: 8 }, () => Role.Decode), Role.Prefill, Role.Prefill]);
    const surplus = surplusDecoders(servers).map(({ id }) => id);
    expect(surplus).toEqual(['e7', 'e6', 'e5']);
    expect(surplusDecoders([...servers].reverse()).map(({ id }) => id)).toEqual(surplus);
    const busy = new Set(['e7']);
    expect(planRoles(servers, ({ id }) => !busy.has(id), 0, true).map(({ server }) => server.id)).toEqual(['e6', 'e5']);
  });

  it('are none while decoders are missing', () => {
    expect(surplusDecoders(engines([Role.Decode, Role.Prefill, Role.Prefill]))).toEqual([]);
  });
});
