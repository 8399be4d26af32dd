import { refusedCallRan } from '../core/refusals.js';
import type { StepForm, StepValues } from './language.js';
import type { World } from './world.js';

type Form = StepForm<World>;

function textOf(values: StepValues, name: string): string {
  return String(values[name]);
}

/** State of the answer in the words of the scenario language. */
function describeAnswer(world: World, values: StepValues): string {
  const { state } = world.caller(textOf(values, 'caller'));
  switch (state.type) {
    case 'refused':
      return `refused ${state.refusal.code}`;
    case 'interrupted':
      return `interrupted ${state.resumable ? 'resumable' : 'lost'} ${state.refusal.code}`;
    case 'waiting':
    case 'reading':
    case 'whole':
    case 'broken':
    default:
      return state.type;
  }
}

/** State of a booking in the words of the scenario language. */
function describeBooking(world: World, values: StepValues): string {
  const result = world.bookings.get(textOf(values, 'booking'))?.result;
  if (result === undefined) return 'absent';
  if (result === null) return 'waiting';
  if (!result.success) return `refused ${result.error.code}, ran ${refusedCallRan(result.error)}`;
  return result.data.repeated ? 'repeated' : 'done';
}

/** Returns nothing if the two are equal, and a message otherwise. */
function checkEqual(actual: string, expected: string): string | undefined {
  return actual === expected ? undefined : `expected ${expected}, found ${actual}`;
}

/** How often the ledger service has run the booking with this key. */
function countRuns(world: World, values: StepValues): number {
  const ledger = world.deployment.standIns.ledgers.get('ledger')!;
  return ledger.runs.get(`default/order/${textOf(values, 'key')}`) ?? 0;
}

/** `<entry>=<revision>` of each running entry, separated by spaces; 0 where no file is in force. */
function describeRevisions(world: World): string {
  return world.deployment.alive()
    .filter(({ process }) => process.running)
    .map(({ name, entry }) => `${name}=${entry.show()?.revision ?? 0}`)
    .join(' ');
}

const ANSWER_EXPECTATIONS: readonly Form[] = [
  { form: 'expect answer <caller:name> whole', run: (world, v) => checkEqual(describeAnswer(world, v), 'whole') },
  { form: 'expect answer <caller:name> reading', run: (world, v) => checkEqual(describeAnswer(world, v), 'reading') },
  { form: 'expect answer <caller:name> broken', run: (world, v) => checkEqual(describeAnswer(world, v), 'broken') },
  {
    form: 'expect answer <caller:name> refused <code:name>',
    run: (world, v) => checkEqual(describeAnswer(world, v), `refused ${textOf(v, 'code')}`),
  },
  {
    form: 'expect answer <caller:name> handed over',
    run: (world, v) => checkEqual(describeAnswer(world, v), 'interrupted resumable draining'),
  },
  {
    form: 'expect first token of <caller:name> within <time:duration>',
    run: (world, v) => {
      const caller = world.caller(textOf(v, 'caller'));
      if (caller.firstTokenAt === null) return 'no token has arrived';
      const tookMs = caller.firstTokenAt - caller.sentAt;
      return tookMs <= Number(v.time) ? undefined : `it took ${tookMs} ms`;
    },
  },
  {
    form: 'expect prompt of <caller:name> run once',
    run: (world, v) => {
      const caller = world.caller(textOf(v, 'caller'));
      const runs = world.countStarts(caller.request.prompt);
      return runs === 1 ? undefined : `the prompt was started ${runs} times`;
    },
  },
];

const BOOKING_EXPECTATIONS: readonly Form[] = [
  { form: 'expect booking <booking:name> done', run: (world, v) => checkEqual(describeBooking(world, v), 'done') },
  { form: 'expect booking <booking:name> repeated', run: (world, v) => checkEqual(describeBooking(world, v), 'repeated') },
  {
    form: 'expect booking <booking:name> refused <code:name> ran <ran:name>',
    run: (world, v) => checkEqual(describeBooking(world, v), `refused ${textOf(v, 'code')}, ran ${textOf(v, 'ran')}`),
  },
  {
    form: 'expect key <key:name> ran <count:count> times',
    run: (world, v) => {
      const runs = countRuns(world, v);
      return runs === v.count ? undefined : `it ran ${runs} times`;
    },
  },
  {
    form: 'expect key <key:name> ran at most once',
    run: (world, v) => {
      const runs = countRuns(world, v);
      return runs <= 1 ? undefined : `it ran ${runs} times`;
    },
  },
];

const CLUSTER_EXPECTATIONS: readonly Form[] = [
  {
    form: 'expect operator <operator:name> <outcome:name>',
    run: (world, v) => checkEqual(world.applyOutcomes.get(textOf(v, 'operator'))?.type ?? 'waiting', textOf(v, 'outcome')),
  },
  {
    form: 'expect one of <a:name> <b:name> accepted and the other told of a conflict',
    run: (world, v) => {
      const outcomes = [textOf(v, 'a'), textOf(v, 'b')].map((name) => world.applyOutcomes.get(name)?.type ?? 'waiting');
      return checkEqual(outcomes.sort().join(' '), 'accepted conflict');
    },
  },
  {
    form: 'expect revision <revision:count> in force everywhere',
    run: (world, v) => {
      const seen = describeRevisions(world);
      return seen.split(' ').every((part) => part.endsWith(`=${v.revision}`)) ? undefined : `found ${seen}`;
    },
  },
  {
    form: 'expect the same revision in force everywhere',
    run: (world) => {
      const seen = describeRevisions(world).split(' ').map((part) => part.split('=')[1]);
      return new Set(seen).size === 1 ? undefined : `found ${describeRevisions(world)}`;
    },
  },
  {
    form: 'expect entry <entry:name> has revision <revision:count>',
    run: (world, v) => {
      const revision = world.entry(textOf(v, 'entry')).entry.show()?.revision ?? 0;
      return revision === v.revision ? undefined : `found ${revision}`;
    },
  },
  {
    form: 'expect one holder',
    run: (world) => {
      const holders = world.holders().map(({ name }) => name);
      return holders.length === 1 ? undefined : `holders: ${holders.join(', ') || 'none'}`;
    },
  },
  {
    form: 'expect no holder',
    run: (world) => {
      const holders = world.holders().map(({ name }) => name);
      return holders.length === 0 ? undefined : `holders: ${holders.join(', ')}`;
    },
  },
  {
    form: 'expect drain of <entry:name> finished without a cut',
    run: (world, v) => {
      const report = world.drainReports.get(textOf(v, 'entry'));
      if (report === undefined || report === null) return 'it has not finished';
      return report.cut === 0 ? undefined : `it cut ${report.cut}`;
    },
  },
  {
    form: 'expect no address names <entry:name>',
    run: (world, v) => {
      const address = world.entry(textOf(v, 'entry')).entry.callerAddress;
      const naming = world.deployment.alive().filter(({ process, entry }) => {
        const answer = entry.address();
        return process.running && answer.success && answer.data.address === address;
      });
      return naming.length === 0 ? undefined : `named by ${naming.map(({ name }) => name).join(', ')}`;
    },
  },
];

const ENGINE_EXPECTATIONS: readonly Form[] = [
  {
    form: 'expect engine <engine:name> serves <model:name> version <version:name>',
    run: (world, v) => {
      const models = world.deployment.standIns.engines.get(textOf(v, 'engine'))!.loadedModels;
      const found = models.find(({ model }) => model === v.model)?.version ?? 'nothing';
      return checkEqual(found, textOf(v, 'version'));
    },
  },
  {
    form: 'expect engine <engine:name> role <role:name>',
    run: (world, v) => (
      checkEqual(world.deployment.standIns.engines.get(textOf(v, 'engine'))!.model.role, textOf(v, 'role'))
    ),
  },
  {
    form: 'expect engine <engine:name> took <count:count> orders',
    run: (world, v) => {
      const orders = world.deployment.standIns.engines.get(textOf(v, 'engine'))!.appliedOrders.length;
      return orders === v.count ? undefined : `it took ${orders}`;
    },
  },
  {
    form: 'expect no work on engine <engine:name> started in the last <time:duration>',
    run: (world, v) => {
      const { lastStartAt } = world.deployment.standIns.engines.get(textOf(v, 'engine'))!;
      const ago = world.deployment.clock.monotonic() - lastStartAt;
      return ago >= Number(v.time) ? undefined : `work started ${ago} ms ago`;
    },
  },
  {
    form: 'expect fewer than <count:count> service calls a second over <time:duration>',
    run: async (world, v) => {
      const before = world.countServiceCalls();
      await world.advance(Number(v.time));
      const rate = ((world.countServiceCalls() - before) * 1_000) / Number(v.time);
      return rate < Number(v.count) ? undefined : `there were ${rate} a second`;
    },
  },
];

/** All steps of the scenario language that check something. */
export const EXPECTATIONS: readonly Form[] = [
  ...ANSWER_EXPECTATIONS, ...BOOKING_EXPECTATIONS, ...CLUSTER_EXPECTATIONS, ...ENGINE_EXPECTATIONS,
];
