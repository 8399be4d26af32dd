// A small deployment: the store, replicas of one plain service, and gateways.
import process from 'node:process';
import { setTimeout as sleep } from 'node:timers/promises';
import { createGateways, temporaryFolder } from './gateways.mjs';
import { PlainServer } from './servers.mjs';
import { Store } from './store.mjs';

export const HOST = 'shop.example';

export const SERVICE = 'app';

/** Time in ms for which all is calm before the requests, longer than `contact-ms`. */
const CALM_MS = 4_000;

/** Configuration with the given routes to the plain service, and further services. */
export function configuration(version, routes, services = []) {
  return JSON.stringify({
    version,
    routes: routes.map((route) => ({
      host: HOST, service: SERVICE, 'target-latency-ms': 300, priority: 2, 'max-attempts': 1, ...route,
    })),
    services: [{ name: SERVICE, 'max-connections': 96, 'health-path': '/health' }, ...services],
    limits: {
      'max-header-bytes': 16_384, 'max-body-bytes': 4_194_304, 'header-timeout-ms': 3_000, 'idle-timeout-ms': 10_000,
    },
  });
}

/** Starts everything; `run` answers the requests that reach a replica. */
export async function startDeployment({
  network, gateways: count, servers: serverCount = 2, routes, run, memoryMb = 350,
}) {
  const { folder, remove } = temporaryFolder();
  const store = new Store();
  await store.start(`127.${network}.1.1`);
  store.put('op/config', configuration(10, routes));
  const servers = [];
  for (let index = 0; index < serverCount; index += 1) {
    const server = new PlainServer(store, { id: `i-app-${index + 1}`, service: SERVICE, zone: `zone-${index + 1}` }, run);
    await server.start(`127.${network}.2.${index + 1}`);
    servers.push(server);
  }
  const gateways = await createGateways(count, network, store.address, folder);
  for (const { fields } of gateways) fields.limits = { ...fields.limits, 'memory-mb': memoryMb };
  const stop = async () => {
    await Promise.all(gateways.map((gateway) => gateway.kill()));
    for (const server of servers) server.stop();
    store.stop();
    remove();
  };
  process.once('SIGTERM', () => {
    stop().then(() => process.exit(2));
  });
  try {
    await Promise.all(gateways.map((gateway) => gateway.start()));
    await sleep(CALM_MS);
  } catch (err) {
    await stop();
    throw err;
  }
  return {
    store, servers, gateways, stop,
  };
}
