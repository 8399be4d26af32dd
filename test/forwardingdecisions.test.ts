import { describe, expect, it } from 'vitest';
import { Role } from '../src/core/edges/index.js';
import { SimulatedClock } from '../src/emulator/clock.js';
import { CallKind, chooseDestination, RouteTable } from '../src/gateway/configuration.js';
import type { Route } from '../src/gateway/configuration.js';
import { ConnectionPool } from '../src/gateway/connections.js';
import { ServerUse } from '../src/gateway/fleet.js';
import {
  avoidLapsing, hasSpare, homesOf, pickLeastOccupied, withRole,
} from '../src/gateway/placement.js';
import type { Candidate } from '../src/gateway/placement.js';
import { planRoles } from '../src/gateway/rolekeeper.js';
import type { ServerRecord } from '../src/gateway/servers.js';
import { server } from './support/serverrecords.js';

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
    destinations,
  };
}

function candidate(id: string, open: number, changes: Partial<Candidate> = {}): Candidate {
  return {
    record: server(id), open, limit: 10, suspect: false, ...changes,
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
  });

  // Guards against a split route whose calls go to the service of the shorter prefix.
  it('takes the longest prefix of the host, whatever its port and case', () => {
    expect(table.find('shop.example', '/a/b/c/d?x=/')?.name).toBe('long');
    expect(table.find('SHOP.example:8000', '/a/x')?.name).toBe('short');
  });

  it('finds nothing for another host, or a path that only resembles a prefix', () => {
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

  // Guards against work at servers that are full or failing while another one has room.
  it('takes the least occupied server that works', () => {
    const all = [
      candidate('a', 3), candidate('b', 1, { suspect: true }), candidate('c', 2), candidate('d', 0, { limit: 0 }),
    ];
    expect(pickLeastOccupied(all, 'brandon', draw)?.record.id).toBe('c');
    expect(pickLeastOccupied([all[1]!], 'brandon', draw)?.record.id).toBe('b');
    expect(pickLeastOccupied([all[3]!], 'brandon', draw)).toBeNull();
  });

  it('prefers its own failure domain among equals', () => {
    const near = { ...candidate('b', 2), record: server('b', { failureDomain: 'brandon' }) };
    expect(pickLeastOccupied([candidate('a', 2), near], 'brandon', draw)?.record.id).toBe('b');
  });

  // Guards against a fleet that reads all shared parts again when one engine comes or goes.
  it('moves only the parts of an engine that leaves', () => {
    const all = ['a', 'b', 'c', 'd'].map((id) => candidate(id, 0));
    const parts = Array.from({ length: 200 }, (_, index) => `part${index}`);
    const before = parts.map((part) => homesOf(all, part, 1)[0]);
    const after = parts.map((part) => homesOf(all.slice(0, 3), part, 1)[0]);
    expect(parts.filter((_, index) => before[index] !== 'd' && before[index] !== after[index])).toEqual([]);
    expect(new Set(before).size).toBe(4);
  });

  // Guards against late calls that fill an engine just before one on time arrives, and are never served by a small one.
  it('leaves a place to calls on time, and those that wait elsewhere theirs', () => {
    const may = (open: number, limit: number, waiting: number): boolean => hasSpare({ open, limit }, waiting);
    expect([may(3, 4, 0), may(2, 4, 0), may(2, 4, 1), may(0, 4, 2)]).toEqual([false, true, false, true]);
    expect([may(0, 1, 0), may(0, 1, 1), may(1, 1, 0)]).toEqual([true, false, false]);
  });

  // Guards against a fleet without any engine because those that should go on are at fault.
  it('suspects engines that calls can not go on from, unless they are half of them', () => {
    const all = ['a', 'b', 'c', 'd'].map((id) => candidate(id, 0));
    const suspects = (names: string): string => avoidLapsing(all, ({ record }) => names.includes(record.id))
      .filter(({ suspect }) => suspect).map(({ record }) => record.id).join('');
    expect([suspects(''), suspects('b'), suspects('ab'), suspects('abcd')]).toEqual(['', 'b', '', '']);
  });

  it('leaves engines of another role out', () => {
    const decoder = { ...candidate('a', 0), record: server('a', { role: Role.Decode }) };
    expect(withRole([decoder, candidate('b', 0)], Role.Prefill).map(({ record }) => record.id)).toEqual(['b']);
  });
});

describe('planRoles', () => {
  const engines = (prefill: number, decode: number): ServerRecord[] => [
    ...Array.from({ length: prefill }, (_, index) => server(`p${index}`, { role: Role.Prefill })),
    ...Array.from({ length: decode }, (_, index) => server(`d${index}`, { role: Role.Decode })),
  ];

  it('turns decoders over the share into prefillers', () => {
    const changes = planRoles(engines(3, 7), () => true, 0);
    expect(changes.map(({ role }) => role)).toEqual([Role.Prefill, Role.Prefill, Role.Prefill]);
  });

  // Guards against engines that refuse everything for the time that their streams still run.
  it('changes no engine that has work', () => {
    expect(planRoles(engines(3, 7), ({ id }) => id === 'd6', 0).map(({ server: { id } }) => id)).toEqual(['d6']);
  });

  // Guards against decoders that leave for good while the streams of the others fill all slots.
  it('replaces decoders that are missing for longer than a crash lasts', () => {
    expect(planRoles(engines(7, 3), () => true, 1_000)).toEqual([]);
    const restored = planRoles(engines(8, 2), () => true, 3_000).map(({ role }) => role);
    expect(restored).toEqual([Role.Decode, Role.Decode]);
  });

  it('leaves an engine that prefills', () => {
    expect(planRoles(engines(2, 0), () => true, 3_000)).toHaveLength(1);
  });
});

describe('ServerUse', () => {
  function use() {
    const clock = new SimulatedClock();
    return { clock, use: new ServerUse(new ConnectionPool('127.0.0.1:1'), clock) };
  }

  // Guards against a server that refuses everything, has no open calls for that reason and so gets all of them.
  it('is avoided after two refusals, longer each time, and tried by one call', async () => {
    const { clock, use: engine } = use();
    engine.refused();
    expect(engine.suspect).toBe(false);
    engine.refused();
    expect(engine.suspect).toBe(true);
    await clock.advance(101);
    expect(engine.suspect).toBe(false);
    const probe = engine.enter();
    expect(engine.suspect).toBe(true);
    probe.dispose();
    engine.refused();
    await clock.advance(150);
    expect(engine.suspect).toBe(true);
    engine.succeeded();
    expect(engine.suspect).toBe(false);
  });

  // Guards against a server that is left out without a line that says so, or with a line for each call.
  it('tells once when it begins to be avoided, and for what', async () => {
    const clock = new SimulatedClock();
    const told: unknown[] = [];
    const engine = new ServerUse(new ConnectionPool('127.0.0.1:1'), clock, (...details) => told.push(details));
    for (let failures = 0; failures < 3; failures += 1) engine.refused();
    for (let failures = 0; failures < 2; failures += 1) engine.handovers.failed();
    expect(told).toEqual([['calls', 2, 100], ['handovers', 2, 100]]);
    await clock.advance(2_000);
    engine.silent();
    expect(told.at(-1)).toEqual(['calls', 4, 1_200]);
  });

  it('is avoided at once when it is silent', () => {
    const { use: engine } = use();
    engine.silent();
    expect(engine.suspect).toBe(true);
  });
});
