import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { FLEET_MAX_BYTES, parseFleet, safeParseFleet } from '../src/core/configuration/fleet.js';
import { formatIssue } from '../src/core/issues.js';

const SEED = 20_261_204;

const FLEET = `
[fleet]
name = halvorsen

[model.catalogue]
version = 3
adapters = garters, sleeves

[engine.regina-1]
address = 10.1.0.1:8100
host = regina-a
failure-domain = regina
models = catalogue
fencing = enforced

[service.ledger]
idempotent = stock
non-idempotent = book

[server.ledger-1]
service = ledger
address = 10.1.0.9:8200
host = regina-b
failure-domain = regina
state = draining

[workspace.default]
weight = 2.5
`;

function issuesOf(text: string): readonly string[] {
  const result = safeParseFleet(text, 'fleet.ini');
  return result.success ? [] : result.error.map(formatIssue);
}

describe('fleet file', () => {
  it('is parsed with the defaults of every section', () => {
    expect(parseFleet(FLEET)).toEqual({
      name: 'halvorsen',
      models: [{ name: 'catalogue', version: '3', adapters: ['garters', 'sleeves'] }],
      engines: [{
        name: 'regina-1',
        address: '10.1.0.1:8100',
        host: 'regina-a',
        failureDomain: 'regina',
        models: ['catalogue'],
        role: 'auto',
        fencing: 'enforced',
        state: 'active',
      }],
      services: [{ name: 'ledger', idempotent: ['stock'], nonIdempotent: ['book'] }],
      servers: [{
        name: 'ledger-1',
        service: 'ledger',
        address: '10.1.0.9:8200',
        host: 'regina-b',
        failureDomain: 'regina',
        state: 'draining',
      }],
      workspaces: [{ name: 'default', weight: 2.5 }],
    });
  });

  it('reports all issues at once', () => {
    const text = FLEET.replace('fencing = enforced', 'fencing = maybe\nrank = 1').replace('2.5', '-1')
      .replace('10.1.0.9:8200', '10.1.0.900:8200').replace('[model.catalogue]', '[model.Cat.alogue]');
    expect(issuesOf(`${text}[engine.regina-1]\n[racks]\n`)).toEqual([
      'fleet.ini:30: [engine.regina-1]: this section appears more than once; once is accepted',
      'fleet.ini:5: [model.Cat.alogue] name: found "Cat.alogue"; expected lowercase letters, digits and hyphens, at most 63',
      'fleet.ini:15: [engine.regina-1] rank: unknown key; accepted: address, host, failure-domain, models, role, fencing, state',
      'fleet.ini:14: [engine.regina-1] fencing: found "maybe"; expected enforced | ignored',
      'fleet.ini:23: [server.ledger-1] address: found "10.1.0.900:8200"; expected IP address and port, for example 10.0.0.7:8100',
      'fleet.ini:29: [workspace.default] weight: found "-1"; expected a number above 0',
      'fleet.ini:31: [racks]: unknown section; accepted: fleet, model.NAME, engine.NAME, service.NAME, server.NAME, workspace.NAME',
    ]);
  });

  it('reports undefined references, addresses used twice and operations that are both idempotent and not', () => {
    const text = FLEET.replace('models = catalogue', 'models = catalog').replace('service = ledger', 'service = ledgers')
      .replace('10.1.0.9:8200', '10.1.0.1:8100').replace('idempotent = stock', 'idempotent = stock, book');
    expect(issuesOf(text)).toEqual([
      'fleet.ini: [engine.regina-1] models: found "catalog", which is not defined; accepted: catalogue',
      'fleet.ini: [server.ledger-1] address: found "10.1.0.1:8100"; expected an address that [engine.regina-1] does not have',
      'fleet.ini: [server.ledger-1] service: found "ledgers", which is not defined; accepted: ledger',
      'fleet.ini: [service.ledger] non-idempotent: found "book"; expected operations that are not in idempotent',
    ]);
  });

  it('must contain the section [fleet], so an empty file is rejected', () => {
    expect(issuesOf('')).toEqual(['fleet.ini: [fleet] name: missing; expected lowercase letters, digits and hyphens, at most 63']);
  });

  // Guards against a file that the key-value service could not store.
  it('is rejected above 1,000,000 bytes of UTF-8', () => {
    const text = `${FLEET};${'é'.repeat(FLEET_MAX_BYTES / 2)}`;
    expect(issuesOf(text)).toEqual([`fleet.ini: ${Buffer.byteLength(text)} bytes; at most 1000000 bytes are accepted`]);
    expect(safeParseFleet(`${FLEET};${'x'.repeat(FLEET_MAX_BYTES - FLEET.length - 1)}`).success).toBe(true);
  });

  it('makes parseFleet throw if it has issues', () => {
    expect(() => parseFleet('[fleet]\n', 'fleet.ini')).toThrow('fleet.ini:1: [fleet] name: missing');
  });

  it('never makes safeParseFleet throw or change a prototype, whatever the text (fuzzed)', () => {
    const kind = fc.constantFrom('model', 'engine', 'service', 'server', 'workspace', 'fleet', '__proto__', 'constructor');
    const name = fc.constantFrom('__proto__', 'a', 'a.b', '', 'prototype', 'regina-1');
    const key = fc.constantFrom('__proto__', 'name', 'models', 'models[]', 'constructor', 'weight', 'address', 'fencing');
    const line = fc.oneof(
      fc.tuple(kind, name).map(([section, item]) => `[${section}.${item}]`),
      fc.tuple(key, fc.string()).map(([left, value]) => `${left} = ${value}`),
      fc.string(),
    );
    fc.assert(fc.property(fc.array(line, { maxLength: 40 }), fc.boolean(), (lines, whole) => {
      const result = safeParseFleet(`${whole ? FLEET : ''}${lines.join('\n')}`);
      if (!result.success) expect(result.error.length).toBeGreaterThan(0);
      expect(Object.keys(Object.prototype)).toEqual([]);
      expect(({} as Record<string, unknown>).weight).toBeUndefined();
    }), { seed: SEED, numRuns: 500 });
  });
});
