import { Priority } from '../core/interfaces/index.js';
import type { StepForm, StepValues } from './language.js';
import type { World } from './world.js';

type Form = StepForm<World>;

function textOf(values: StepValues, name: string): string {
  return String(values[name]);
}

function numberOf(values: StepValues, name: string): number {
  return Number(values[name]);
}

function findEngine(world: World, values: StepValues) {
  const found = world.deployment.standIns.engines.get(textOf(values, 'engine'));
  if (found === undefined) throw new Error(`no engine ${textOf(values, 'engine')}`);
  return found;
}

function findServer(world: World, values: StepValues) {
  const found = world.deployment.standIns.services.get(textOf(values, 'server'));
  if (found === undefined) throw new Error(`no server ${textOf(values, 'server')}`);
  return found;
}

const ENTRY_STEPS: readonly Form[] = [
  { form: 'start <count:count> entries', run: (world, v) => world.start(numberOf(v, 'count')) },
  {
    form: 'restart entry <entry:name>',
    run: (world, v) => {
      world.kill(textOf(v, 'entry'));
      world.deployment.start(textOf(v, 'entry'));
    },
  },
  { form: 'kill entry <entry:name>', run: (world, v) => world.kill(textOf(v, 'entry')) },
  { form: 'pause entry <entry:name>', run: (world, v) => world.deployment.pause(world.entry(textOf(v, 'entry')).name) },
  { form: 'unpause entry <entry:name>', run: (world, v) => world.deployment.unpause(textOf(v, 'entry')) },
  { form: 'unpause all', run: (world) => world.deployment.names.forEach((name) => world.deployment.unpause(name)) },
  { form: 'drain entry <entry:name>', run: (world, v) => world.drain(textOf(v, 'entry')) },
  {
    form: 'cut <a:name> from <b:name>',
    run: (world, v) => world.deployment.setCut(world.entry(textOf(v, 'a')).name, world.entry(textOf(v, 'b')).name, true),
  },
  {
    form: 'cut messages from <a:name> to <b:name>',
    run: (world, v) => {
      const [from, to] = [world.entry(textOf(v, 'a')), world.entry(textOf(v, 'b'))];
      world.deployment.network.setCut(from.address, to.address, true);
    },
  },
  {
    form: 'cut entry <entry:name> from the service',
    run: (world, v) => {
      world.entry(textOf(v, 'entry')).keyValue.cut = true;
    },
  },
  { form: 'heal all', run: (world) => world.deployment.heal() },
  { form: 'advance <time:duration>', run: (world, v) => world.advance(numberOf(v, 'time')) },
];

const SERVICE_STEPS: readonly Form[] = [
  {
    form: 'service down',
    run: (world) => {
      world.deployment.standIns.store.down = true;
      world.deployment.standIns.store.breakWatches();
    },
  },
  {
    form: 'service up',
    run: (world) => {
      world.deployment.standIns.store.down = false;
    },
  },
  {
    form: 'service slow <time:duration>',
    run: (world, v) => {
      world.deployment.standIns.store.latencyMs = numberOf(v, 'time');
    },
  },
  { form: 'break watches', run: (world) => world.deployment.standIns.store.breakWatches() },
  {
    form: 'lose <count:count> answers to writes',
    run: (world, v) => {
      world.deployment.standIns.store.loseAnswers += numberOf(v, 'count');
    },
  },
  {
    form: 'lose <count:count> answers to writes of <entry:name>',
    run: (world, v) => {
      world.entry(textOf(v, 'entry')).keyValue.loseAnswers += numberOf(v, 'count');
    },
  },
  {
    form: 'expire all leases',
    run: (world) => {
      const { store } = world.deployment.standIns;
      for (const lease of store.leaseIds()) store.expireLease(lease);
    },
  },
];

const BACKEND_STEPS: readonly Form[] = [
  { form: 'crash engine <engine:name>', run: (world, v) => findEngine(world, v).crash() },
  { form: 'slow engine <engine:name> by <factor:factor>', run: (world, v) => findEngine(world, v).model.setStepTimeFactor(numberOf(v, 'factor')) },
  {
    form: 'cut engine <engine:name>',
    run: (world, v) => {
      findEngine(world, v).faults.cut = true;
    },
  },
  {
    form: 'restore engine <engine:name>',
    run: (world, v) => {
      findEngine(world, v).faults.cut = false;
    },
  },
  {
    form: 'engine <engine:name> leaves',
    run: (world, v) => {
      findEngine(world, v).leaving = true;
    },
  },
  {
    form: 'host <host:name> leaves',
    run: (world, v) => world.markHostLeaving(textOf(v, 'host')),
  },
  {
    form: 'delay orders to engine <engine:name> by <time:duration>',
    run: (world, v) => {
      findEngine(world, v).faults.orderDelayMs = numberOf(v, 'time');
    },
  },
  {
    form: 'duplicate events of engine <engine:name>',
    run: (world, v) => {
      findEngine(world, v).faults.duplicateEvents = true;
    },
  },
  {
    form: 'cross events of engine <engine:name>',
    run: (world, v) => {
      findEngine(world, v).faults.foreignEvents = true;
    },
  },
  {
    form: 'server <server:name> loses <count:count> answers',
    run: (world, v) => {
      findServer(world, v).loseAnswers += numberOf(v, 'count');
    },
  },
  {
    form: 'server <server:name> refuses connections',
    run: (world, v) => {
      findServer(world, v).unreachable = true;
    },
  },
  {
    form: 'server <server:name> takes <time:duration>',
    run: (world, v) => {
      findServer(world, v).latencyMs = numberOf(v, 'time');
    },
  },
];

const CALLER_STEPS: readonly Form[] = [
  {
    form: 'send <caller:name> to <entry:name> prompt <prompt:count> answer <answer:count>',
    run: (world, v) => world.send(textOf(v, 'caller'), textOf(v, 'entry'), {
      prompt: numberOf(v, 'prompt'), answer: numberOf(v, 'answer'),
    }),
  },
  {
    form: 'send urgent <caller:name> to <entry:name> prompt <prompt:count> answer <answer:count>',
    run: (world, v) => world.send(textOf(v, 'caller'), textOf(v, 'entry'), {
      prompt: numberOf(v, 'prompt'), answer: numberOf(v, 'answer'),
    }, Priority.Urgent),
  },
  {
    form: 'caller <caller:name> resumes at <entry:name>',
    run: (world, v) => {
      void world.caller(textOf(v, 'caller')).resume(world.entry(textOf(v, 'entry')));
    },
  },
  { form: 'caller <caller:name> disconnects', run: (world, v) => world.caller(textOf(v, 'caller')).disconnect() },
  {
    form: 'book <booking:name> key <key:name> at <entry:name>',
    run: (world, v) => world.book(textOf(v, 'booking'), textOf(v, 'key'), textOf(v, 'entry')),
  },
];

const OPERATOR_STEPS: readonly Form[] = [
  {
    form: 'file <file:name> is <base:name> with <section:name> <key:name> <value:name>',
    run: (world, v) => (
      world.addFileVariant(textOf(v, 'file'), textOf(v, 'base'), textOf(v, 'section'), textOf(v, 'key'), textOf(v, 'value'))
    ),
  },
  {
    form: 'operator <operator:name> applies <file:name> at <entry:name>',
    run: (world, v) => world.apply(textOf(v, 'operator'), textOf(v, 'file'), textOf(v, 'entry')),
  },
  {
    form: 'operator <operator:name> applies <file:name> on revision <revision:count> at <entry:name>',
    run: (world, v) => (
      world.apply(textOf(v, 'operator'), textOf(v, 'file'), textOf(v, 'entry'), numberOf(v, 'revision'))
    ),
  },
];

/** All steps that act on the scenario; those that check something are in `expectations.ts`. */
export const STEPS: readonly Form[] = [
  ...ENTRY_STEPS, ...SERVICE_STEPS, ...BACKEND_STEPS, ...CALLER_STEPS, ...OPERATOR_STEPS,
];
