import fc from 'fast-check';
import { scenarioIssueText } from './language.js';
import { runScenario } from './runner.js';

/** Options of {@link explore}. */
export interface ExploreOptions {
  readonly seed: number;
  /** Number of schedules to try. */
  readonly runs: number;
}

/** Shortest failing schedule that was found, as the text of a scenario that can be run as it is. */
export interface ExploreFailure {
  readonly scenario: string;
  readonly issues: readonly string[];
  /** Path of the counterexample in fast-check, to replay it. */
  readonly path: string;
}

const ENTRY_COUNT = 6;
const ENGINE_COUNT = 4;

const entry = fc.integer({ min: 1, max: ENTRY_COUNT }).map((index) => `n${index}`);
const engine = fc.integer({ min: 1, max: ENGINE_COUNT }).map((index) => `e${index}`);
const duration = fc.integer({ min: 1, max: 60 }).map((tenths) => `${tenths * 100}ms`);
const version = fc.integer({ min: 2, max: 9 });

/** Steps that inject a fault or let time pass; shrinking a failing schedule keeps or drops each list as a whole. */
const event = fc.oneof(
  { weight: 6, arbitrary: duration.map((time) => [`advance ${time}`]) },
  { weight: 1, arbitrary: entry.map((name) => [`restart entry ${name}`]) },
  { weight: 2, arbitrary: entry.map((name) => [`pause entry ${name}`]) },
  { weight: 2, arbitrary: fc.constant(['unpause all']) },
  { weight: 1, arbitrary: fc.tuple(entry, entry).map(([a, b]) => [`cut ${a} from ${b}`]) },
  { weight: 1, arbitrary: fc.tuple(entry, entry).map(([a, b]) => [`cut messages from ${a} to ${b}`]) },
  { weight: 1, arbitrary: entry.map((name) => [`cut entry ${name} from the service`]) },
  { weight: 1, arbitrary: fc.constant(['heal all']) },
  { weight: 1, arbitrary: fc.constant(['service down']) },
  { weight: 1, arbitrary: fc.constant(['service up']) },
  { weight: 1, arbitrary: fc.constant(['service slow 300ms']) },
  { weight: 2, arbitrary: fc.integer({ min: 1, max: 4 }).map((count) => [`lose ${count} answers to writes`]) },
  { weight: 1, arbitrary: fc.constant(['break watches']) },
  { weight: 2, arbitrary: engine.map((name) => [`crash engine ${name}`]) },
  { weight: 1, arbitrary: engine.map((name) => [`delay orders to engine ${name} by 3s`]) },
  { weight: 1, arbitrary: engine.map((name) => [`cross events of engine ${name}`]) },
  { weight: 1, arbitrary: engine.map((name) => [`duplicate events of engine ${name}`]) },
  { weight: 1, arbitrary: engine.map((name) => [`slow engine ${name} by 4`]) },
  { weight: 1, arbitrary: fc.constantFrom('s1', 's2').map((name) => [`server ${name} loses 1 answers`]) },
);

/** One action of a random schedule, from which {@link toScenario} makes steps. */
interface ScheduleAction {
  readonly kind: 'event' | 'send' | 'book' | 'apply';
  /** Steps of an `event`; the steps of other actions are made from `at` and `value`. */
  readonly lines: readonly string[];
  /** Entry that receives the request. */
  readonly at: string;
  /** Length of the answer in units of 40 tokens, number of the booking key, or model version, by kind. */
  readonly value: number;
}

const scheduleAction: fc.Arbitrary<ScheduleAction> = fc.oneof(
  {
    weight: 8,
    arbitrary: event.map((lines): ScheduleAction => ({
      kind: 'event', lines, at: 'n1', value: 0,
    })),
  },
  {
    weight: 3,
    arbitrary: fc.tuple(fc.constantFrom('send' as const, 'book' as const), entry, fc.integer({ min: 1, max: 3 }))
      .map(([kind, at, value]): ScheduleAction => ({
        kind, lines: [], at, value,
      })),
  },
  {
    weight: 2,
    arbitrary: fc.tuple(entry, version).map(([at, value]): ScheduleAction => ({
      kind: 'apply', lines: [], at, value,
    })),
  },
);

/** Writes a schedule as a scenario: names its requests, and removes all faults at the end. */
function toScenario(actions: readonly ScheduleAction[]): string {
  const lines = ['# Found by random search.', `start ${ENTRY_COUNT} entries`];
  actions.forEach(({
    kind, lines: eventLines, at, value,
  }, index) => {
    switch (kind) {
      case 'send':
        lines.push(`send c${index} to ${at} prompt 200 answer ${value * 40}`);
        break;
      case 'book':
        lines.push(`book b${index} key crate-${value} at ${at}`);
        break;
      case 'apply':
        lines.push(`file f${index} is fleet with model.advice version ${value}`);
        lines.push(`operator o${index} applies f${index} at ${at}`);
        break;
      case 'event':
      default:
        lines.push(...eventLines);
    }
  });
  lines.push('heal all', 'advance 60s', 'expect one holder', 'expect the same revision in force everywhere');
  return `${lines.join('\n')}\n`;
}

async function findIssues(actions: readonly ScheduleAction[], seed: number): Promise<readonly string[]> {
  const result = await runScenario(toScenario(actions), { file: 'explore.scenario', seed });
  return result.issues.map(scenarioIssueText);
}

/** Runs random schedules of faults and returns the shortest failing one, or `null` if all passed. */
export async function explore(options: ExploreOptions): Promise<ExploreFailure | null> {
  const schedules = fc.array(scheduleAction, { minLength: 5, maxLength: 40, size: 'max' });
  const property = fc.asyncProperty(
    schedules,
    async (actions) => (await findIssues(actions, options.seed)).length === 0,
  );
  const details = await fc.check(property, { seed: options.seed, numRuns: options.runs });
  if (!details.failed) return null;
  const actions = details.counterexample?.[0] ?? [];
  return {
    scenario: toScenario(actions),
    issues: await findIssues(actions, options.seed),
    path: details.counterexamplePath ?? '',
  };
}
