import type { Authority } from '../core/authority/index.js';
import type {
  Clock, Log, Meter,
} from '../core/edges/index.js';
import { Role } from '../core/edges/index.js';
import { sleep } from '../core/time.js';
import { askServer } from './control.js';
import type { Dialect } from './dialect.js';
import type { FleetUse } from './fleet.js';
import type { Occupancy } from './occupancy.js';
import type { ServerRecord, ServerRegistry } from './servers.js';

/** Share of a service's engines that decode; long prompts are prefilled on the others. */
const DECODE_SHARE = 0.35;

const LEAST_DECODERS = 2;

/** Time in ms for which decoders are missing before others take their place; a crashed one is back sooner. */
const LACK_MS = 2_500;

/** Time in ms between two looks at the roles. */
const PERIOD_MS = 500;

/** Time in ms in which an engine is not ordered again: a change takes about 3 s, and its record follows later. */
const SETTLE_MS = 6_000;

/** Change of one engine's role. */
export interface RoleChange {
  readonly server: ServerRecord;
  readonly role: Role.Prefill | Role.Decode;
}

function wantedDecoders(servers: readonly ServerRecord[]): number {
  const engines = servers.filter(({ role }) => role === Role.Decode || role === Role.Prefill).length;
  return Math.max(LEAST_DECODERS, Math.round(engines * DECODE_SHARE));
}

/**
 * Changes that give a service its division of roles. A change takes an engine out of service until its streams have
 * ended and for seconds more, so only decoders without work are changed, and prefillers only where decoders have been
 * missing for `lackedMs`.
 */
export function planRoles(
  servers: readonly ServerRecord[],
  unused: (server: ServerRecord) => boolean,
  lackedMs: number,
): readonly RoleChange[] {
  const decoders = servers.filter(({ role }) => role === Role.Decode);
  const prefillers = servers.filter(({ role }) => role === Role.Prefill);
  const wanted = wantedDecoders(servers);
  if (decoders.length > wanted) {
    return decoders.filter(unused).slice(0, decoders.length - wanted).map((server) => ({ server, role: Role.Prefill }));
  }
  const missing = lackedMs < LACK_MS ? 0 : wanted - decoders.length;
  // One engine that prefills stays, whatever else is missing.
  const most = Math.max(0, prefillers.length - 1);
  return prefillers.slice(0, Math.min(missing, most)).map((server) => ({ server, role: Role.Decode }));
}

/** Edges of {@link RoleKeeper}. */
export interface RoleKeeperEdges {
  readonly clock: Clock;
  readonly log: Log;
  readonly meter: Meter;
  readonly dialect: Dialect;
  readonly authority: Authority;
  readonly registry: ServerRegistry;
  readonly fleet: FleetUse;
  readonly occupancy: Occupancy;
  /** Services whose servers are engines; none before the first configuration. */
  readonly engineServices: () => readonly string[];
}

/** Orders roles from engines while this process holds authority. */
export class RoleKeeper {
  private readonly orderedAt = new Map<string, number>();

  private readonly lackingSince = new Map<string, number>();

  public constructor(private readonly edges: RoleKeeperEdges, private readonly holder: string) {}

  public async run(signal: AbortSignal): Promise<void> {
    const { clock, authority } = this.edges;
    while (!signal.aborted) {
      await sleep(clock, PERIOD_MS, signal);
      const tenure = authority.tenure();
      // An order of the holder before may still arrive until its lease would have ended.
      if (tenure === null || clock.monotonic() - tenure.acquiredAt < authority.leaseMs) continue;
      for (const service of this.edges.engineServices()) await this.settle(service, tenure.term);
    }
  }

  private async settle(service: string, term: number): Promise<void> {
    const changes = planRoles(this.edges.registry.available(service), ({ id }) => {
      const { prefills, continuations, wholes } = this.edges.occupancy.total(id);
      return prefills + continuations + wholes === 0;
    }, this.lackedMs(service));
    await Promise.all(changes.filter(({ server }) => this.due(server)).map((change) => this.change(change, term)));
  }

  /** Time in ms for which a service has had fewer decoders than it should. */
  private lackedMs(service: string): number {
    const servers = this.edges.registry.available(service);
    const now = this.edges.clock.monotonic();
    if (servers.filter(({ role }) => role === Role.Decode).length >= wantedDecoders(servers)) {
      this.lackingSince.delete(service);
      return 0;
    }
    const since = this.lackingSince.get(service) ?? now;
    this.lackingSince.set(service, since);
    return now - since;
  }

  private due({ id }: ServerRecord): boolean {
    const at = this.orderedAt.get(id);
    return at === undefined || this.edges.clock.monotonic() - at > SETTLE_MS;
  }

  private async change({ server, role }: RoleChange, term: number): Promise<void> {
    const {
      dialect, authority, log, meter, clock,
    } = this.edges;
    this.orderedAt.set(server.id, clock.monotonic());
    const { pool } = this.edges.fleet.of(server);
    const report = await askServer(pool, server.address, dialect.reportRequest(), clock);
    const state = report === null ? null : dialect.readReport(report.body);
    if (state === null) {
      log.warn('role_not_ordered', { server: server.id, reason: 'no report' });
      return;
    }
    if (state.changing || state.role === String(role)) return;
    if (!authority.mayAct() || authority.term !== term) return;
    const answer = await askServer(pool, server.address, dialect.orderRequest(server, {
      holder: this.holder, fencingToken: term, expectedSequence: state.sequence, role,
    }), clock);
    meter.count('role_orders', 1, { role, status: String(answer?.status ?? 'none') });
    log.info('role_ordered', {
      server: server.id, role, term, sequence: state.sequence, status: answer?.status ?? null,
    });
  }
}
