import { readFileSync } from 'node:fs';
import yargs from 'yargs';
import { hideBin } from 'yargs/helpers';
import { SystemClock } from '../adapters/system.js';
import { parseFleet } from '../core/configuration/index.js';
import { createStandIns, serveStandIns } from './standins.js';

const args = await yargs(hideBin(process.argv))
  .usage('Serves stand-ins for the platform and the backend servers of a fleet file.')
  .option('fleet', { type: 'string', demandOption: true, describe: 'fleet file' })
  .option('key-value', { type: 'string', demandOption: true, describe: 'IP:port of the key-value service' })
  .option('host-list', { type: 'string', demandOption: true, describe: 'IP:port of the host list and weight store' })
  .strict()
  .parse();

const fleet = parseFleet(readFileSync(args.fleet, 'utf8'));
const standIns = createStandIns(new SystemClock(), fleet);
await serveStandIns(standIns, fleet, { keyValue: args.keyValue, hostList: args.hostList });
process.stdout.write(`${JSON.stringify({ standIns: fleet.name, engines: fleet.engines.length, servers: fleet.servers.length })}\n`);
