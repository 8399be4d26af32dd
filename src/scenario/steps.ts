import { Priority } from '../core/interfaces/index.js';
import type { StepForm, StepValues } from './language.js';
import type { World } from './world.js';

type Form = StepForm<World>;

function text(values: StepValues, name: string): string {
  return String(values[name]);
}

function count(values: StepValues, name: string): number {
  return Number(values[name]);
}

function engine(world: World, values: StepValues) {
  const found = world.deployment.standIns.engines.get(text(values, 'engine'));
  if (found === undefined) throw new Error(`no engine ${text(values, 'engine')}`);
  return found;
}

function server(world: World, values: StepValues) {
  const found = world.deployment.standIns.services.get(text(values, 'server'));
  if (found === undefined) throw new Error(`no server ${text(values, 'server')}`);
  return found;
}

const ENTRY_STEPS: readonly Form[] = [
  { form: 'start <count:count> entries', run: (world, v) => world.start(count(v, 'count')) },
  {
    form: 'restart entry <entry:name>',
    run: (world, v) => {
      world.kill(text(v, 'entry'));
      world.deployment.start(text(v, 'entry'));
    },
  },
  { form: 'kill entry <entry:name>', run: (world, v) => world.kill(text(v, 'entry')) },
  { form: 'pause entry <entry:name>', run: (world, v) => world.deployment.pause(world.entry(text(v, 'entry')).name) },
  { form: 'unpause entry <entry:name>', run: (world, v) => world.deployment.unpause(text(v, 'entry')) },
  { form: 'unpause all', run: (world) => world.deployment.names.forEach((name) => world.deployment.unpause(name)) },
  { form: 'drain entry <entry:name>', run: (world, v) => world.drain(text(v, 'entry')) },
  {
    form: 'cut <a:name> from <b:name>',
    run: (world, v) => world.deployment.setCut(world.entry(text(v, 'a')).name, world.entry(text(v, 'b')).name, true),
  },
  {
    form: 'cut messages from <a:name> to <b:name>',
    run: (world, v) => {
      const [from, to] = [world.entry(text(v, 'a')), world.entry(text(v, 'b'))];
      world.deployment.network.setCut(from.address, to.address, true);
    },
  },
  {
    form: 'cut entry <entry:name> from the service',
    run: (world, v) => {
      world.entry(text(v, 'entry')).keyValue.cut = true;
    },
  },
  { form: 'heal all', run: (world) => world.deployment.heal() },
  { form: 'advance <time:duration>', run: (world, v) => world.advance(count(v, 'time')) },
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
      world.deployment.standIns.store.latencyMs = count(v, 'time');
    },
  },
  { form: 'break watches', run: (world) => world.deployment.standIns.store.breakWatches() },
  {
    form: 'lose <count:count> answers to writes',
    run: (world, v) => {
      world.deployment.standIns.store.loseAnswers += count(v, 'count');
    },
  },
  {
    form: 'lose <count:count> answers to writes of <entry:name>',
    run: (world, v) => {
      world.entry(text(v, 'entry')).keyValue.loseAnswers += count(v, 'count');
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
  { form: 'crash engine <engine:name>', run: (world, v) => engine(world, v).crash() },
  { form: 'slow engine <engine:name> by <factor:factor>', run: (world, v) => engine(world, v).model.slow(count(v, 'factor')) },
  {
    form: 'cut engine <engine:name>',
    run: (world, v) => {
      engine(world, v).faults.cut = true;
    },
  },
  {
    form: 'restore engine <engine:name>',
    run: (world, v) => {
      engine(world, v).faults.cut = false;
    },
  },
  {
    form: 'engine <engine:name> leaves',
    run: (world, v) => {
      engine(world, v).leaving = true;
    },
  },
  {
    form: 'host <host:name> leaves',
    run: (world, v) => world.hostLeaves(text(v, 'host')),
  },
  {
    form: 'delay orders to engine <engine:name> by <time:duration>',
    run: (world, v) => {
      engine(world, v).faults.orderDelayMs = count(v, 'time');
    },
  },
  {
    form: 'duplicate events of engine <engine:name>',
    run: (world, v) => {
      engine(world, v).faults.duplicateEvents = true;
    },
  },
  {
    form: 'cross events of engine <engine:name>',
    run: (world, v) => {
      engine(world, v).faults.crossedEvents = true;
    },
  },
  {
    form: 'server <server:name> loses <count:count> answers',
    run: (world, v) => {
      server(world, v).loseAnswers += count(v, 'count');
    },
  },
  {
    form: 'server <server:name> refuses connections',
    run: (world, v) => {
      server(world, v).unreachable = true;
    },
  },
  {
    form: 'server <server:name> takes <time:duration>',
    run: (world, v) => {
      server(world, v).latencyMs = count(v, 'time');
    },
  },
];

const CALLER_STEPS: readonly Form[] = [
  {
    form: 'send <caller:name> to <entry:name> prompt <prompt:count> answer <answer:count>',
    run: (world, v) => world.send(text(v, 'caller'), text(v, 'entry'), {
      prompt: count(v, 'prompt'), answer: count(v, 'answer'),
    }),
  },
  {
    form: 'send urgent <caller:name> to <entry:name> prompt <prompt:count> answer <answer:count>',
    run: (world, v) => world.send(text(v, 'caller'), text(v, 'entry'), {
      prompt: count(v, 'prompt'), answer: count(v, 'answer'),
    }, Priority.Urgent),
  },
  {
    form: 'caller <caller:name> resumes at <entry:name>',
    run: (world, v) => {
      void world.caller(text(v, 'caller')).resume(world.entry(text(v, 'entry')));
    },
  },
  { form: 'caller <caller:name> disconnects', run: (world, v) => world.caller(text(v, 'caller')).disconnect() },
  {
    form: 'book <booking:name> key <key:name> at <entry:name>',
    run: (world, v) => world.book(text(v, 'booking'), text(v, 'key'), text(v, 'entry')),
  },
];

const OPERATOR_STEPS: readonly Form[] = [
  {
    form: 'file <file:name> is <base:name> with <section:name> <key:name> <value:name>',
    run: (world, v) => (
      world.edit(text(v, 'file'), text(v, 'base'), text(v, 'section'), text(v, 'key'), text(v, 'value'))
    ),
  },
  {
    form: 'operator <operator:name> applies <file:name> at <entry:name>',
    run: (world, v) => world.apply(text(v, 'operator'), text(v, 'file'), text(v, 'entry')),
  },
  {
    form: 'operator <operator:name> applies <file:name> on revision <revision:count> at <entry:name>',
    run: (world, v) => (
      world.apply(text(v, 'operator'), text(v, 'file'), text(v, 'entry'), count(v, 'revision'))
    ),
  },
];

/** All steps that act. Expectations are in `expectations.ts`. */
export const STEPS: readonly Form[] = [
  ...ENTRY_STEPS, ...SERVICE_STEPS, ...BACKEND_STEPS, ...CALLER_STEPS, ...OPERATOR_STEPS,
];
