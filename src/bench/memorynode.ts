import { SystemClock, SystemRandom } from '../adapters/system.js';
import type { Log, Meter } from '../core/interfaces/index.js';
import { createIncarnation, Membership } from '../core/membership/index.js';
import { Secret } from '../core/configuration/index.js';
import { HttpPeerClient, PeerListener } from '../daemon/peers.js';

/** Runs one member over real HTTP and prints its memory and processor use when standard input closes. */
async function main(address: string, seeds: readonly string[]): Promise<void> {
  const log: Log = { info: () => {}, warn: () => {}, error: () => {} };
  const meter: Meter = { count: () => {}, record: () => {}, gauge: () => {} };
  const peers = { token: new Secret('token-of-the-control-bench'), log, meter };
  const server = new PeerListener(peers);
  const listener = await server.listen(address);
  if (!listener.success) throw new Error(listener.error.message);
  const [clock, random] = [new SystemClock(), new SystemRandom()];
  const membership = new Membership({
    id: address.replace(/[.:]/g, '-'),
    incarnation: createIncarnation(clock, random),
    address,
    callerAddress: address,
    failureDomain: 'regina',
    leaving: false,
    revision: 1,
    load: 0,
  }, {
    clock, random, client: new HttpPeerClient(peers), server, log,
  }, { seeds });
  void membership.run(new AbortController().signal);
  setInterval(() => membership.update({ load: random.float() }), 1_000);
  let { user, system } = process.cpuUsage();
  let since = performance.now();
  // Measures after 3 s only, so that the start-up of the process does not count as running cost.
  setTimeout(() => {
    ({ user, system } = process.cpuUsage());
    since = performance.now();
  }, 3_000);
  process.stdin.on('end', () => {
    const cpuAtEnd = process.cpuUsage();
    process.stdout.write(JSON.stringify({
      members: membership.live().length,
      residentMb: process.memoryUsage().rss / 1e6,
      coreShare: (cpuAtEnd.user + cpuAtEnd.system - user - system) / 1_000 / (performance.now() - since),
    }));
    process.exit(0);
  }).resume();
}

await main(process.argv[2]!, process.argv.slice(3));
