import { inspect } from 'node:util';
import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { formatIssue } from '../src/core/issues.js';
import { safeParseSecrets, safeParseSettings } from '../src/core/configuration/settings.js';
import { safeParseDuration, safeParseSize } from '../src/core/units.js';

const SEED = 20_261_204;

const MINIMAL = `
[entry]
name = entry-1
failure-domain = regina
[listen]
callers = 127.0.0.1:8001
operators = 127.0.0.1:8002
peers = 127.0.0.1:8003
[platform]
key-value = 127.0.0.1:8004
host-list = 127.0.0.1:8005
weight-store = 127.0.0.1:8006
`;

function issuesOf(text: string): readonly string[] {
  const result = safeParseSettings(text, 'entry.ini');
  return result.success ? [] : result.error.map(formatIssue);
}

describe('settings', () => {
  it('use defaults for all keys that are left out', () => {
    const result = safeParseSettings(MINIMAL, 'entry.ini');
    expect(result).toMatchObject({
      data: {
        peers: { seeds: [] },
        address: { keep: 5_000 },
        drain: { bound: 30_000 },
        stream: { resumeWindow: 15_000, buffer: 16_384, stall: 30_000 },
        limits: { body: 1_000_000, connections: 8_192, headerTimeout: 10_000 },
        authority: { lease: 3_000 },
      },
    });
  });

  it('accept durations, sizes and lists', () => {
    const result = safeParseSettings(`${MINIMAL}
[peers]
seeds = 10.0.0.1:9000, 10.0.0.2:9000
[stream]
buffer = 64 KiB
[drain]
bound = 1.5 min
`, 'entry.ini');
    expect(result).toMatchObject({
      data: { peers: { seeds: ['10.0.0.1:9000', '10.0.0.2:9000'] }, stream: { buffer: 65_536 }, drain: { bound: 90_000 } },
    });
  });

  it('report all issues at once, each with file, line, section, key, found value and accepted values', () => {
    expect(issuesOf('[entry]\nname = Entry 1\ncolour = red\n[drain]\nbound = 30\n[drain]\n[extra]\n')).toEqual([
      'entry.ini:6: [drain]: this section appears more than once; once is accepted',
      expect.stringMatching(/^entry\.ini:7: \[extra\]: unknown section; accepted: entry, listen/),
      'entry.ini:3: [entry] colour: unknown key; accepted: name, failure-domain',
      'entry.ini:2: [entry] name: found "Entry 1"; expected lowercase letters, digits and hyphens, at most 63',
      'entry.ini:1: [entry] failure-domain: missing; expected lowercase letters, digits and hyphens, at most 63',
      ...['callers', 'operators', 'peers'].map((key) => `entry.ini: [listen] ${key}: missing; expected IP address and port, for example 10.0.0.7:8100`),
      ...['key-value', 'host-list', 'weight-store'].map((key) => `entry.ini: [platform] ${key}: missing; expected IP address and port, for example 10.0.0.7:8100`),
      'entry.ini:5: [drain] bound: found "30"; expected a duration with a unit (ms, s, min, h), for example 5 s',
    ]);
  });

  it('reject a repeated key, a value out of range and a line that is neither key nor section', () => {
    expect(issuesOf(`${MINIMAL}[address]\nkeep = 5 s\nkeep = 6 s\n[limits]\nconnections = 0\nnonsense\n`)).toEqual([
      'entry.ini:15: [address] keep: this key appears more than once; once is accepted',
      'entry.ini:18: [limits]: found "nonsense"; expected [section] or key = value',
      'entry.ini:17: [limits] connections: found "0"; expected a whole number between 1 and 100000',
    ]);
  });

  it('never make the parser throw or change a prototype, whatever the text (fuzzed)', () => {
    const word = fc.constantFrom('__proto__', 'constructor', 'entry', 'name', 'prototype', 'polluted', 'drain.bound', 'a b');
    const line = fc.oneof(
      word.map((name) => `[${name}]`),
      fc.tuple(word, fc.string()).map(([key, value]) => `${key} = ${value}`),
      fc.string(),
    );
    fc.assert(fc.property(fc.array(line, { maxLength: 30 }), (lines) => {
      expect(safeParseSettings(lines.join('\n'), 'fuzz.ini').success).toBe(false);
      expect(({} as Record<string, unknown>).polluted).toBeUndefined();
      expect(Object.keys(Object.prototype)).toEqual([]);
    }), { seed: SEED, numRuns: 500 });
  });
});

describe('units', () => {
  it('are required and parsed in durations and sizes', () => {
    expect([safeParseDuration('250 ms'), safeParseDuration('5s')]).toMatchObject([{ data: 250 }, { data: 5_000 }]);
    expect([safeParseSize('1 MB'), safeParseSize('16KiB')]).toMatchObject([{ data: 1_000_000 }, { data: 16_384 }]);
    for (const text of ['5', 's', '-5 s', '5 m', '5 S', '1e3 ms', '', '5  s']) {
      expect(safeParseDuration(text).success).toBe(false);
    }
  });
});

describe('secrets', () => {
  const FILE = '[secrets]\noperator-token = operator-0123456789\npeer-token = peer-0123456789ab\nticket-key = ticket-0123456789\n';

  it('come from the file unless the environment sets them', () => {
    const result = safeParseSecrets(FILE, 'secrets.ini', { CATKINSCALE_PEER_TOKEN: 'from-the-environment' });
    if (!result.success) throw new Error('secrets expected');
    expect(result.data.operatorToken.reveal()).toBe('operator-0123456789');
    expect(result.data.peerToken.reveal()).toBe('from-the-environment');
  });

  // Guards against secrets in logs, dumps and issue texts.
  it('do not appear in strings, JSON, inspections or issues', () => {
    const result = safeParseSecrets(FILE, 'secrets.ini', {});
    if (!result.success) throw new Error('secrets expected');
    const { data } = result;
    const forms = [JSON.stringify(data), inspect(data, { depth: 9 }), String(data.ticketKey)].join();
    expect(forms).not.toContain('0123456789');
    const short = safeParseSecrets('[secrets]\noperator-token = hunter2\n', 'secrets.ini', {});
    expect(JSON.stringify(short)).not.toContain('hunter2');
  });
});
