import type { Server } from 'node:http';
import { Role } from '../core/interfaces/index.js';
import type { Clock } from '../core/interfaces/index.js';
import { DesiredRole } from '../core/configuration/index.js';
import type { EngineSpec, Fleet } from '../core/configuration/index.js';
import { EmulatedEngine } from './engine.js';
import type { EngineParameters } from './enginemodel.js';
import { startEngineServer } from './engineserver.js';
import { KeyValueStore } from './keyvalue.js';
import { startKeyValueServer } from './keyvalueserver.js';
import { EmulatedHostList, EmulatedWeightStore } from './platform.js';
import type { StandInRecorder } from './server.js';
import { startPlatformServer } from './platformserver.js';
import { EmulatedService, ServiceLedger } from './service.js';
import { startServiceServer } from './serviceserver.js';

/** In-process stand-ins for the platform's services and for all engines and backend servers of a fleet file. */
export interface StandIns {
  readonly store: KeyValueStore;
  readonly hosts: EmulatedHostList;
  readonly weights: EmulatedWeightStore;
  readonly engines: ReadonlyMap<string, EmulatedEngine>;
  readonly services: ReadonlyMap<string, EmulatedService>;
  /** Ledgers by the name of the plain service. */
  readonly ledgers: ReadonlyMap<string, ServiceLedger>;
}

const INITIAL_ROLES: Record<DesiredRole, Role> = {
  [DesiredRole.Prefill]: Role.Prefill,
  [DesiredRole.Decode]: Role.Decode,
  [DesiredRole.Mixed]: Role.Mixed,
  [DesiredRole.Auto]: Role.Mixed,
};

function createEngine(clock: Clock, fleet: Fleet, spec: EngineSpec, parameters?: EngineParameters): EmulatedEngine {
  const models = fleet.models
    .filter(({ name }) => spec.models.includes(name))
    .map(({ name, version }) => ({ model: name, version }));
  return new EmulatedEngine(clock, {
    name: spec.name,
    role: INITIAL_ROLES[spec.role],
    models,
    fencing: spec.fencing,
    ...(parameters === undefined ? {} : { parameters }),
  });
}

/** Creates stand-ins for a fleet. Engines start with the models and roles of the file; role `auto` starts as mixed. */
export function createStandIns(clock: Clock, fleet: Fleet, parameters?: EngineParameters): StandIns {
  const hosts = new EmulatedHostList();
  for (const { host, failureDomain } of [...fleet.engines, ...fleet.servers]) hosts.set(host, failureDomain);
  const ledgers = new Map(fleet.services.map(({ name }) => [name, new ServiceLedger()]));
  return {
    store: new KeyValueStore(clock),
    hosts,
    weights: new EmulatedWeightStore(),
    engines: new Map(fleet.engines.map((spec) => [spec.name, createEngine(clock, fleet, spec, parameters)])),
    services: new Map(fleet.servers.map(({ name, service }) => (
      [name, new EmulatedService(name, clock, ledgers.get(service)!)]
    ))),
    ledgers,
  };
}

/** Serves the stand-ins over HTTP, at the addresses of the fleet file and at those given for the platform. */
export async function serveStandIns(
  standIns: StandIns,
  fleet: Fleet,
  platform: { readonly keyValue: string; readonly hostList: string },
  record?: StandInRecorder,
): Promise<Server[]> {
  const { store, hosts, weights } = standIns;
  return Promise.all([
    startKeyValueServer(store, platform.keyValue),
    startPlatformServer(hosts, weights, platform.hostList),
    ...fleet.engines.map(({ name, address }) => startEngineServer(standIns.engines.get(name)!, address, record)),
    ...fleet.servers.map(({ name, address }) => startServiceServer(standIns.services.get(name)!, address)),
  ]);
}
