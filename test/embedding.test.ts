import { readFileSync } from 'node:fs';
import { dirname, join } from 'node:path';
import { describe, expect, it } from 'vitest';
import { JobPool, RetryingCaller } from '../examples/embedding.js';
import {
  Priority, SendStatus, fail, ok,
} from '../src/index.js';
import type { Result, WorkItem } from '../src/index.js';
import { SimulatedClock } from '../src/emulator/clock.js';
import { SeededRandom } from '../src/emulator/random.js';

const INTERFACE_NAMES = [
  'Clock', 'Random', 'KeyValue', 'HostList', 'WeightStore', 'Engine', 'PlainService', 'PeerClient', 'PeerServer', 'Log',
  'Meter',
];

function read(file: string): string {
  return readFileSync(new URL(`../${file}`, import.meta.url), 'utf8');
}

/** Parses the page's table of modules: each module with the interfaces in the last column. */
function parseModuleTable(page: string): Map<string, string[]> {
  const rows = page.split('\n').filter((line) => line.startsWith('| `core/')).map((line) => line.split('|'));
  return new Map(rows.flatMap((cells) => {
    const interfaces = [...cells.at(-2)!.matchAll(/`(\w+)`/g)].map(([, name]) => name!);
    return [...cells[1]!.matchAll(/`(core\/[\w/]+)\.ts`/g)].map(([, module]) => [module!, interfaces] as const);
  }));
}

/** Returns the interfaces that a module imports from `core/interfaces/`, also through a base of its options type. */
function requiredInterfaces(module: string): string[] {
  const source = read(`src/${module}.ts`);
  const imported = [...source.matchAll(/import (?:type )?\{([^}]*)\} from '\.\.?\/interfaces\/index\.js'/g)]
    .flatMap(([, names]) => names!.split(',').map((name) => name.trim()));
  const inherited = [...source.matchAll(/interface \w+Options extends (\w+Options)/g)]
    .flatMap(([, base]) => {
      const from = new RegExp(`\\b${base}\\b[^}]*\\} from '(\\.[\\w./]+)\\.js'`).exec(source)?.[1];
      return from === undefined ? [] : requiredInterfaces(join(dirname(module), from));
    });
  return INTERFACE_NAMES.filter((name) => imported.includes(name) || inherited.includes(name));
}

function createItem(overrides: Partial<WorkItem>): WorkItem {
  return {
    requestId: 'r',
    workspace: 'w',
    model: 'm',
    kind: 'k',
    priority: Priority.Normal,
    promptTokens: 100,
    maxTokens: 10,
    prefixBlockHashes: [],
    deadline: 10_000,
    arrival: 0,
    ...overrides,
  };
}

describe('docs/embedding.md', () => {
  const page = read('docs/embedding.md');

  // Guards against a page whose code is never compiled or run.
  it('shows the code of examples/embedding.ts', () => {
    const blocks = [...page.matchAll(/^```ts\n([\s\S]*?)^```$/gm)].map(([, code]) => code);
    expect(blocks.join('\n')).toBe(read('examples/embedding.ts'));
  });

  // Guards against exported modules that the page does not list, and against changes of the interfaces they need.
  it('lists the modules of src/index.ts with the interfaces that they need', () => {
    const modules = [...read('src/index.ts').matchAll(/^export \* from '\.\/(core\/[\w/]+)\.js'/gm)].map(([, module]) => module!);
    const expected = modules.sort().map((module) => [module, requiredInterfaces(module)]);
    const listed = [...parseModuleTable(page)].sort(([left], [right]) => (left < right ? -1 : 1));
    expect(modules.length).toBeGreaterThan(0);
    expect(listed).toEqual(expected);
  });
});

describe('JobPool', () => {
  function createPool(slots: number) {
    const clock = new SimulatedClock();
    const pool = new JobPool(clock, new SeededRandom(1), slots);
    const events: string[] = [];
    const ends = new Map<string, () => void>();
    const submit = (name: string, priority: Priority) => pool.submit(createItem({ requestId: name, priority }), {
      run: () => {
        events.push(`${name} runs`);
        return new Promise((resolve) => {
          ends.set(name, resolve);
        });
      },
      refused: ({ code }) => events.push(`${name} ${code}`),
    });
    return {
      clock, events, ends, submit,
    };
  }

  // Guards against an example that exceeds its slots, or that starts no queued job when one ends.
  it('runs urgent jobs first when a slot becomes free', async () => {
    const {
      clock, events, ends, submit,
    } = createPool(1);
    submit('first', Priority.Normal);
    submit('second', Priority.Normal);
    submit('urgent', Priority.Urgent);
    expect(events).toEqual(['first runs']);
    ends.get('first')!();
    await clock.advance(10);
    expect(events).toEqual(['first runs', 'urgent runs']);
    ends.get('urgent')!();
    await clock.advance(10);
    expect(events).toEqual(['first runs', 'urgent runs', 'second runs']);
  });

  // Guards against jobs that wait forever, or that run although they were refused.
  it('refuses a job once when its deadline passes in the queue', async () => {
    const {
      clock, events, ends, submit,
    } = createPool(1);
    submit('first', Priority.Normal);
    submit('late', Priority.Normal);
    // A job that misses the first-token target keeps waiting until its own deadline of 10 s.
    await clock.advance(9_900);
    expect(events).toEqual(['first runs']);
    await clock.advance(200);
    expect(events).toEqual(['first runs', 'late deadline_unreachable']);
    ends.get('first')!();
    await clock.advance(1_100);
    expect(events).toEqual(['first runs', 'late deadline_unreachable']);
  });
});

describe('RetryingCaller', () => {
  async function countAttempts(results: () => Result<string, SendStatus>, safe: boolean, calls: number) {
    const clock = new SimulatedClock();
    const caller = new RetryingCaller(clock, new SeededRandom(1));
    let attempts = 0;
    const outcomes: unknown[] = [];
    const attempt = async (): Promise<Result<string, SendStatus>> => {
      attempts += 1;
      return results();
    };
    for (let call = 0; call < calls; call += 1) {
      const done = caller.call(attempt, { safe, deadline: clock.monotonic() + 60_000, expectedMs: 10 });
      await clock.advance(20_000);
      const outcome = await done;
      outcomes.push(outcome.success ? outcome.data : outcome.error);
    }
    return { attempts, outcomes };
  }

  // Guards against an example that gives each call its own retry budget.
  it('stops retrying once the shared budget of 20 is spent', async () => {
    const { attempts, outcomes } = await countAttempts(() => fail(SendStatus.No), true, 30);
    expect(attempts).toBe(50);
    expect(outcomes[0]).toBe('attempts');
    expect(outcomes.at(-1)).toBe('budget');
  });

  // Guards against running an unsafe call twice.
  it('does not retry an unsafe call that may have been sent', async () => {
    expect(await countAttempts(() => fail(SendStatus.Unknown), false, 1)).toEqual({ attempts: 1, outcomes: ['unsafe'] });
  });

  it('returns a success after a retry', async () => {
    let failures = 2;
    const results = (): Result<string, SendStatus> => {
      failures -= 1;
      return failures >= 0 ? fail(SendStatus.No) : ok('done');
    };
    expect(await countAttempts(results, false, 1)).toEqual({ attempts: 3, outcomes: ['done'] });
  });
});
