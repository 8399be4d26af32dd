import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { AddressSelector } from '../src/core/membership/addresses.js';
import type { ObservedMembers } from '../src/core/membership/addresses.js';
import type { Member } from '../src/core/membership/members.js';
import { SeededRandom } from '../src/emulator/random.js';

function member(index: number, fields: Partial<Member> = {}): Member {
  return {
    id: `entry-${index}`,
    incarnation: `life-${index}`,
    address: `10.0.0.${index}:7000`,
    callerAddress: `10.0.0.${index}:8000`,
    failureDomain: `domain-${index % 3}`,
    leaving: false,
    revision: 0,
    load: 0.2,
    ...fields,
  };
}

function createMembers(members: readonly Member[], suspects: ReadonlySet<string> = new Set()): ObservedMembers {
  return {
    self: () => members[0]!,
    live: () => members.slice(1),
    isSuspect: (incarnation) => suspects.has(incarnation),
    update: () => {},
    onChange: () => ({ dispose: () => {} }),
  };
}

/** Counts how often each address is answered. */
function countAnswers(members: readonly Member[], failureDomain?: string, answers = 6_000): Map<string, number> {
  const addresses = new AddressSelector(createMembers(members), new SeededRandom(1));
  const counts = new Map<string, number>();
  for (let index = 0; index < answers; index += 1) {
    const answer = addresses.choose(failureDomain);
    if (answer.success) counts.set(answer.data.address, (counts.get(answer.data.address) ?? 0) + 1);
  }
  return counts;
}

describe('Addresses', () => {
  // Guards against answers that prefer the answering entry or one failure domain.
  it('distributes callers evenly over equally loaded entries', () => {
    const counts = countAnswers(Array.from({ length: 6 }, (_, index) => member(index)));
    for (const count of counts.values()) expect(count).toBeGreaterThan(800);
    expect(counts.size).toBe(6);
  });

  // Guards against herding: if the least loaded of all entries were chosen, it would get every caller until its new
  // load is known.
  it('sends more callers to the least loaded entry, but not all of them', () => {
    const counts = countAnswers(
      Array.from({ length: 6 }, (_, index) => member(index, { load: index === 3 ? 0 : 0.5 })),
    );
    const share = counts.get('10.0.0.3:8000')! / 6_000;
    expect(share).toBeGreaterThan(1 / 6);
    expect(share).toBeLessThan(0.5);
  });

  // Guards against callers that are sent to another failure domain needlessly, or that overload their own.
  it('prefers the failure domain of the caller unless it is much more loaded', () => {
    const idle = Array.from({ length: 6 }, (_, index) => member(index));
    const near = (counts: Map<string, number>) => counts.get('10.0.0.1:8000')! + counts.get('10.0.0.4:8000')!;
    expect(near(countAnswers(idle, 'domain-1'))).toBe(6_000);
    const busy = idle.map((entry) => ({ ...entry, load: entry.failureDomain === 'domain-1' ? 0.9 : 0.2 }));
    expect(countAnswers(busy, 'domain-1').get('10.0.0.1:8000') ?? 0).toBe(0);
  });

  // Guards invariant I8: callers must not be sent to an entry that leaves or does not answer.
  it('never returns the address of a leaving or suspected entry', () => {
    fc.assert(fc.property(
      fc.array(fc.record({
        leaving: fc.boolean(), suspect: fc.boolean(), load: fc.double({ min: 0, max: 2, noNaN: true }),
      }), { minLength: 1, maxLength: 8 }),
      fc.option(fc.constantFrom('domain-0', 'domain-1', 'domain-9'), { nil: undefined }),
      fc.integer(),
      (facts, failureDomain, seed) => {
        const members = facts.map(({ leaving, load }, index) => member(index, { leaving, load }));
        const suspects = new Set(facts.flatMap(({ suspect }, index) => (suspect && index > 0 ? [`life-${index}`] : [])));
        const usable = members.filter(({ leaving, incarnation }) => !leaving && !suspects.has(incarnation));
        const answer = new AddressSelector(createMembers(members, suspects), new SeededRandom(seed))
          .choose(failureDomain);
        expect(answer.success).toBe(usable.length > 0);
        if (!answer.success) return;
        expect(usable.map(({ callerAddress }) => callerAddress)).toContain(answer.data.address);
      },
    ), { seed: 5, numRuns: 500 });
  });
});
