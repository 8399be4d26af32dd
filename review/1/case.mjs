import { setTimeout } from 'node:timers';
import { fileURLToPath, URL } from 'node:url';
import {
  answerSigned, Client, configuration, Server, wait,
} from '../lib/peers.mjs';
import { runCase } from '../lib/script.mjs';

const HOST = 'orders.example';

/** Time in ms that a server takes for one request, as on the sheet. */
const WORK_MS = 86;

const CLIENTS_PER_GATEWAY = 12;

/** Time in ms after which the platform starts a process again that has ended. */
const RESTART_MS = 1_000;

/** Entry of another writer whose address is no address: its port is above 65535. */
const FOREIGN_ADDRESS = '127.0.0.1:99999';

/** Answers without a complete response that the rule LOST allows. */
const ALLOWED_LOST = 3;

await runCase(fileURLToPath(new URL('.', import.meta.url)), async ({
  store, record, trouble, onEnd, gateways: create,
}) => {
  const arrived = new Set();
  const servers = [];
  for (let index = 1; index <= 3; index += 1) {
    const server = new Server(`i-ledger-${index}`, (req, res) => {
      const id = req.headers['catkinscale-request-id'];
      arrived.add(id);
      record('runs', { server: server.id, request: id });
      setTimeout(() => answerSigned(res, server.id, `done ${id}`), WORK_MS);
    });
    await server.start();
    onEnd(() => server.stop());
    store.put(`servers/${server.id}`, server.entry('ledger'));
    servers.push(server);
  }
  store.put('op/config', configuration(1, [
    {
      name: 'order-book', host: HOST, 'path-prefix': '/book/', kind: 'non_idempotent', service: 'ledger', 'max-attempts': 1,
    },
  ], [{ name: 'ledger', 'max-connections': 96 }]));
  const gateways = await create(['regina', 'brandon', 'saskatoon']);
  await Promise.all(gateways.map((gateway) => gateway.start()));
  let stopped = false;
  const restart = async (gateway) => {
    await gateway.exited;
    await wait(RESTART_MS);
    if (stopped) return;
    gateway.spawn();
    restart(gateway);
  };
  for (const gateway of gateways) restart(gateway);

  const results = [];
  const clients = gateways.flatMap((gateway) => Array.from({ length: CLIENTS_PER_GATEWAY }, (_, index) => (
    new Client(`${gateway.name}-client-${index}`, gateway.callerAddress, HOST)
  )));
  onEnd(() => clients.forEach((client) => client.close()));
  const running = clients.map(async (client) => {
    while (!stopped) {
      const result = await client.send({ method: 'POST', path: '/book/1', body: 'one crate' });
      results.push(result);
      const {
        id, status, complete, error, reused,
      } = result;
      record('answered', {
        request: id, status, complete, error, reused,
      });
      await wait(status === 200 ? 10 : 200);
    }
  });
  // All machines are in touch: nothing has disturbed them for longer than `contact-ms`.
  await wait(4_000);
  if (trouble) {
    store.put('servers/i-other', servers[0].entry('ledger', { address: FOREIGN_ADDRESS }));
    record('entry_of_another_writer', { key: 'servers/i-other', address: FOREIGN_ADDRESS });
  }
  await wait(6_000);
  stopped = true;
  await Promise.all(running);
  const lost = results.filter(({ id, reused, status }) => reused && status === null && arrived.has(id));
  const ends = gateways.flatMap(({ name, ends: all }) => all.map((how) => ({ gateway: name, how })));
  const served = results.filter(({ status }) => status === 200).length;
  return {
    broken: lost.length > ALLOWED_LOST,
    detail: {
      lost: lost.length, ends, served, requests: results.length,
    },
  };
});
