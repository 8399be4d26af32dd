import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { findCauses } from '../src/gateway/quarantine/verdict.js';
import type { PartRecord, ServerEnd } from '../src/gateway/quarantine/verdict.js';

/** End of a server at a time in ms under calls that were sent 10 ms before, or at `sentAt`. */
function end(at: number, runs: readonly (readonly string[])[], sentAt = at - 10): ServerEnd {
  return { incarnation: `s${at}`, at, runs: runs.map((keys) => ({ keys, sentAt })) };
}

function parts(records: Record<string, Partial<PartRecord>>): ReadonlyMap<string, PartRecord> {
  return new Map(Object.entries(records).map(([key, record]) => (
    [key, { provenAt: -Infinity, isQuarantined: false, ...record }]
  )));
}

const NOTHING_KNOWN = parts({});

/** Pause in ms of a gateway that the others tolerate. */
const PAUSE_TOLERANCE_MS = 1_000;

describe('findCauses', () => {
  it('names the part that was open at two ends, one after the other', () => {
    const ends = [end(100, [['dead'], ['x']]), end(200, [['dead'], ['y']])];
    expect(findCauses(ends.slice(0, 1), NOTHING_KNOWN)).toEqual([]);
    expect(findCauses(ends, NOTHING_KNOWN)).toEqual(['dead']);
  });

  // Guards against sound requests that are kept out because their host or failure domain failed with many engines.
  it('takes ends of many servers at one moment for one', () => {
    const ends = [100, 101, 102, 103].map((at) => end(at, [['sound'], ['other']], 50));
    expect(findCauses(ends, NOTHING_KNOWN)).toEqual([]);
  });

  // Guards against a beginning that all prompts share being kept out instead of the part that crashes engines.
  it('names the narrowest of nested parts', () => {
    const ends = [end(100, [['first', 'session', 'dead']]), end(200, [['first', 'session', 'dead']])];
    expect(findCauses(ends, NOTHING_KNOWN)).toEqual(['dead']);
  });

  // Guards against a decision on long prompts that stops the process for seconds.
  it('names the last of 1,000 parts of the same prompts, soon', () => {
    const prompt = Array.from({ length: 1_000 }, (_, index) => `p${index}`);
    const ends = [100, 200, 300, 400].map((at) => end(at, [[...prompt, `own${at}`], [`other${at}`]]));
    const startedAt = performance.now();
    expect(findCauses(ends, NOTHING_KNOWN)).toEqual(['p999']);
    expect(performance.now() - startedAt).toBeLessThan(PAUSE_TOLERANCE_MS);
  });

  it('names the wider part where the narrower ones differ', () => {
    const ends = [end(100, [['dead', 'x']]), end(200, [['dead', 'y']])];
    expect(findCauses(ends, NOTHING_KNOWN)).toEqual(['dead']);
  });

  it('waits for a third end where calls on different parts were open at the first two', () => {
    const ends = [end(100, [['dead'], ['unlucky']]), end(200, [['dead'], ['unlucky']]), end(300, [['dead'], ['z']])];
    expect(findCauses(ends.slice(0, 2), NOTHING_KNOWN)).toEqual([]);
    expect(findCauses(ends, NOTHING_KNOWN)).toEqual(['dead']);
  });

  // Guards against sound requests that are kept out because they were beside a request that crashes engines.
  it('does not count ends that a part in quarantine explains against others', () => {
    const ends = [100, 200, 300, 400, 500].map((at) => end(at, [['dead'], ['unlucky']]));
    expect(findCauses(ends, parts({ dead: { isQuarantined: true } }))).toEqual([]);
  });

  it('does not count ends before the part was last seen to work', () => {
    const ends = [end(100, [['sound']]), end(200, [['sound']])];
    expect(findCauses(ends, parts({ sound: { provenAt: 150 } }))).toEqual([]);
  });

  it('asks for more ends where a part worked a short time before', () => {
    const ends = [100, 200, 300, 400].map((at) => end(at, [['turned']]));
    const known = parts({ turned: { provenAt: 50 } });
    expect(findCauses(ends.slice(0, 3), known)).toEqual([]);
    expect(findCauses(ends, known)).toEqual(['turned']);
  });

  // Guards against sound requests that are kept out because one request with their parts comes again and again.
  it('names the whole prompt that is open at all ends, and none of its parts', () => {
    const deadly = ['first', 'session', '*w1'];
    const ends = [100, 200, 300, 400].map((at) => end(at, [deadly, ['first', 'session', `*s${at}`]]));
    expect(findCauses(ends.slice(0, 2), NOTHING_KNOWN)).toEqual(['*w1']);
    expect(findCauses(ends, NOTHING_KNOWN)).toEqual(['*w1']);
    const elsewhere = [...ends, end(500, [['first', 'session', '*s5']])];
    expect(findCauses(elsewhere, parts({ '*w1': { isQuarantined: true } }))).toEqual([]);
  });

  // Guards against a part that is never found because each request with it comes twice.
  it('names the part that several repeated prompts share, by the fifth end', () => {
    const prompts = ['*w1', '*w1', '*w2', '*w2', '*w3'];
    const ends = prompts.map((prompt, index) => end(100 * (index + 1), [['first', 'dead', prompt]]));
    expect(findCauses(ends, NOTHING_KNOWN)).toContain('dead');
    expect(findCauses(ends, NOTHING_KNOWN)).not.toContain('first');
    const quarantined = parts({ '*w1': { isQuarantined: true }, '*w2': { isQuarantined: true } });
    expect(findCauses(ends, quarantined)).toEqual(['dead']);
  });

  // Guards against a part that ends one engine after another because each request with it is tried at two of them.
  it('names the part that two prompts share, each open at two ends, by the fourth end', () => {
    const first = ['first', 'dead', '*w1'];
    const second = ['first', 'dead', '*w2'];
    const sound = ['first', 'other', '*s1'];
    const ends = [end(100, [first]), end(150, [second], 90), end(260, [second, first]), end(370, [second, sound])];
    expect(findCauses(ends.slice(0, 2), NOTHING_KNOWN)).toEqual([]);
    expect(findCauses(ends, NOTHING_KNOWN)).toContain('dead');
    const known = parts({ first: { provenAt: 300 }, '*w1': { isQuarantined: true }, '*w2': { isQuarantined: true } });
    expect(findCauses(ends, known)).toEqual(['dead']);
  });

  // Guards against ends that are no evidence because the calls there were sent beside each other.
  it('names the part that two prompts share, each sent to two engines side by side', () => {
    const first = ['first', 'dead', '*w1'];
    const second = ['first', 'dead', '*w2'];
    const ends = [end(100, [first]), end(150, [second], 90), end(180, [first], 110), end(240, [second], 190)];
    expect(findCauses(ends.slice(0, 3), NOTHING_KNOWN)).not.toContain('dead');
    expect(findCauses(ends, parts({ first: { provenAt: 170 } }))).toContain('dead');
  });

  // Guards against sound requests that are kept out because they were open beside one that ends engines.
  it('names no part where one whole prompt was open at every end, whichever others were beside it', () => {
    const beside = fc.array(fc.tuple(fc.constantFrom('p1', 'p2'), fc.integer({ min: 0, max: 3 })), { maxLength: 4 });
    fc.assert(fc.property(fc.array(beside, { minLength: 2, maxLength: 8 }), (crowds) => {
      const ends = crowds.map((crowd, index) => end(100 * (index + 1), [
        ['first', 'p1', '*deadly'], ...crowd.map(([part, prompt]) => ['first', part, `*${part}s${prompt}`]),
      ]));
      const causes = findCauses(ends, parts({ '*deadly': { isQuarantined: true } }));
      expect(causes.filter((key) => !key.startsWith('*'))).toEqual([]);
    }), { seed: 53, numRuns: 300 });
  });

  it('finds two parts that crash engines at the same time although prompts with both are in quarantine', () => {
    const ends = [100, 200, 300, 400].map((at) => end(at, [['dead', `*w${at < 250 ? 1 : 2}`], ['fatal', `*v${at % 200}`]]));
    const prompts = ['*w1', '*w2', '*v0', '*v100'];
    const known = parts(Object.fromEntries(prompts.map((key) => [key, { isQuarantined: true }])));
    expect([...findCauses(ends, known)].sort()).toEqual(['dead', 'fatal']);
  });

  it('finds two parts that crash engines at the same time', () => {
    const ends = [end(100, [['dead']]), end(200, [['fatal']]), end(300, [['dead']]), end(400, [['fatal']])];
    expect([...findCauses(ends, NOTHING_KNOWN)].sort()).toEqual(['dead', 'fatal']);
  });
});
