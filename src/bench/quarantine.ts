import { createQuarantineGroup, engineRecord, openRun } from '../emulator/quarantinegroup.js';
import type { QuarantineGroup } from '../emulator/quarantinegroup.js';
import type { Experiment } from './experiment.js';

const SIZES = [6, 68, 195, 1_000];

/** Shortest bound in ms, of all deployments, within which gateways in touch know of an event. */
const CONTACT_MS = 3_000;

const IDLE_MS = 10_000;

const MS_PER_S = 1_000;

/** Bytes of datagrams and calls that the average gateway has sent. */
function bytesPerGateway({ nodes, network }: QuarantineGroup): number {
  const datagrams = nodes.reduce((sum, { meter }) => sum + (meter.counts.get('quarantine_bytes_sent') ?? 0), 0);
  const calls = [...network.bytesSent.values()].reduce((sum, bytes) => sum + bytes, 0);
  return (datagrams + calls) / nodes.length;
}

/** Cost of the exchange at rest, and of two ends of servers until all gateways keep the part from engines. */
async function measure(size: number) {
  const group = createQuarantineGroup(size);
  const { clock, nodes } = group;
  await clock.advance(1_000);
  const atStart = bytesPerGateway(group);
  await clock.advance(IDLE_MS);
  const atRest = bytesPerGateway(group);
  nodes[0]?.quarantine.recordEnd(engineRecord('s1'), [openRun(['f00d', 'dead'], clock.monotonic() - 5)]);
  await clock.advance(300);
  nodes.at(-1)?.quarantine.recordEnd(engineRecord('s2'), [openRun(['f00d', 'dead'], clock.monotonic() - 5)]);
  const endedAt = clock.monotonic();
  while (group.blockedAt('dead') < size && clock.monotonic() - endedAt < 10 * CONTACT_MS) await clock.advance(5);
  const knownAfterMs = clock.monotonic() - endedAt;
  await clock.advance(2_000);
  return {
    gateways: size,
    idle_bytes_per_s: Math.round((atRest - atStart) / (IDLE_MS / MS_PER_S)),
    bytes_for_two_ends: Math.round(bytesPerGateway(group) - atRest),
    known_after_ms: knownAfterMs,
  };
}

/** Measures what the exchange on prompt parts costs in groups of several sizes. */
export const quarantine: Experiment = {
  name: 'quarantine',
  shows: 'cost and delay of the exchange on prompt parts that crash servers, by the number of gateways',
  target: 'known everywhere within 3 s; cost of a gateway at 1,000 at most twice that at 6',
  variants: [],
  run: async ({ emit }) => {
    const lines: Awaited<ReturnType<typeof measure>>[] = [];
    for (const size of SIZES) {
      const line = await measure(size);
      emit(line);
      lines.push(line);
    }
    const [smallest, largest] = [lines[0], lines.at(-1)];
    const isBounded = smallest !== undefined && largest !== undefined
      && largest.idle_bytes_per_s <= 2 * smallest.idle_bytes_per_s;
    return {
      pass: isBounded && lines.every(({ known_after_ms: known }) => known <= CONTACT_MS),
      figure: {
        idle_bytes_per_s: largest?.idle_bytes_per_s ?? 0,
        bytes_for_two_ends: largest?.bytes_for_two_ends ?? 0,
        known_after_ms: largest?.known_after_ms ?? 0,
      },
    };
  },
};
