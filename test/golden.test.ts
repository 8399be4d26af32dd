import { readFileSync } from 'node:fs';
import {
  beforeAll, describe, expect, it,
} from 'vitest';
import { SESSIONS, runSessions } from './golden/sessions.js';

const SESSIONS_TIMEOUT_MS = 60_000;

// Guards against unintended changes of what callers, operators and engines see on the wire.
describe('golden sessions', () => {
  const texts = new Map<string, string>();
  beforeAll(async () => {
    for (const [name, text] of await runSessions()) texts.set(name, text);
  }, SESSIONS_TIMEOUT_MS);

  it.each(SESSIONS.map(({ name }) => name))('%s', (name) => {
    const golden = readFileSync(new URL(`./golden/${name}.golden`, import.meta.url), 'utf8');
    expect(texts.get(name)).toBe(golden);
  });
});
