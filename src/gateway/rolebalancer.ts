import type { Authority } from '../core/authority/index.js';
import type {
  Clock, Log, Meter,
} from '../core/interfaces/index.js';
import { Role } from '../core/interfaces/index.js';
import { sleep } from '../core/time.js';
import type { ControlClient } from './control.js';
import type { Codec } from './codec.js';
import type { BackendFleet } from './fleet.js';
import type { Occupancy } from './occupancy.js';
import type { ServerRecord, ServerRegistry } from './serverregistry.js';

/** Share of a service's engines that should decode; the others prefill long prompts. */
const DECODE_SHARE = 0.35;

/** The same where the number of servers is ordered: decoders are lost and replaced there while others run. */
const SCALED_DECODE_SHARE = 0.45;

const MIN_DECODERS = 2;

/** Time in ms for which decoders must be missing before prefillers replace them; a crashed one is back sooner. */
const MIN_SHORTAGE_MS = 2_500;

/** Time in ms between two checks of the roles. */
const PERIOD_MS = 500;

/** Time in ms for which a server is known before its role changes, so that other gateways know it too. */
const MIN_KNOWN_MS = 1_000;

/** Time in ms before an engine gets another order: a change takes about 3 s, and its record is updated later. */
const REORDER_AFTER_MS = 6_000;

/** Planned change of one engine's role. */
export interface RoleChange {
  readonly server: ServerRecord;
  readonly role: Role.Prefill | Role.Decode;
}

function targetDecoderCount(servers: readonly ServerRecord[], isScaled: boolean): number {
  const engines = servers.filter(({ role }) => role === Role.Decode || role === Role.Prefill).length;
  return Math.max(MIN_DECODERS, Math.round(engines * (isScaled ? SCALED_DECODE_SHARE : DECODE_SHARE)));
}

/**
 * Decoders beyond the target of a service whose servers are ordered, the newest ones. Every gateway finds the same
 * ones from the servers' records, so that none sends work to an engine that is about to change its role.
 */
export function surplusDecoders(servers: readonly ServerRecord[]): readonly ServerRecord[] {
  const decoders = servers.filter(({ role }) => role === Role.Decode)
    .sort((left, right) => right.bornAt - left.bornAt || (left.id < right.id ? -1 : 1));
  return decoders.slice(0, Math.max(0, decoders.length - targetDecoderCount(servers, true)));
}

/**
 * Plans the role changes that bring a service to its share of decoders. A change takes an engine out of service until
 * its streams have ended and for seconds more. Therefore only unused decoders become prefillers, and prefillers become
 * decoders only once decoders have been missing for long; `shortageMs` is the time in ms for which they have been.
 * Where the number of servers is ordered, only {@link surplusDecoders} change, which get no work.
 */
export function planRoles(
  servers: readonly ServerRecord[],
  isUnused: (server: ServerRecord) => boolean,
  shortageMs: number,
  isScaled = false,
): readonly RoleChange[] {
  const decoders = servers.filter(({ role }) => role === Role.Decode);
  const prefillers = servers.filter(({ role }) => role === Role.Prefill);
  const targetCount = targetDecoderCount(servers, isScaled);
  if (decoders.length > targetCount) {
    const candidates = isScaled ? surplusDecoders(servers) : decoders;
    return candidates.filter(isUnused).slice(0, decoders.length - targetCount)
      .map((server) => ({ server, role: Role.Prefill }));
  }
  const missing = shortageMs < MIN_SHORTAGE_MS ? 0 : targetCount - decoders.length;
  // At least one engine keeps the prefill role, however many decoders are missing.
  const maxChanges = Math.max(0, prefillers.length - 1);
  return prefillers.slice(0, Math.min(missing, maxChanges)).map((server) => ({ server, role: Role.Decode }));
}

/** Dependencies of {@link RoleBalancer}. */
export interface RoleBalancerDependencies {
  readonly clock: Clock;
  readonly log: Log;
  readonly meter: Meter;
  readonly codec: Codec;
  readonly authority: Authority;
  readonly registry: ServerRegistry;
  readonly fleet: BackendFleet;
  readonly occupancy: Occupancy;
  readonly control: Pick<ControlClient, 'send'>;
  /** Names of the services whose servers are engines; none before the first configuration. */
  readonly engineServices: () => readonly string[];
  /** Whether the number of a service's servers is ordered. */
  readonly isScaled: (service: string) => boolean;
}

/** Orders engines to change their roles while this process holds the authority lease. */
export class RoleBalancer {
  /** Monotonic time in ms of the last order, by server id. */
  private readonly orderedAt = new Map<string, number>();

  /** Monotonic time in ms since which decoders have been missing, by service. */
  private readonly shortageSince = new Map<string, number>();

  public constructor(private readonly deps: RoleBalancerDependencies, private readonly holder: string) {}

  /** Checks the roles periodically until `signal` aborts. */
  public async run(signal: AbortSignal): Promise<void> {
    const { clock, authority } = this.deps;
    while (!signal.aborted) {
      await sleep(clock, PERIOD_MS, signal);
      const leadership = authority.currentLeadership();
      // Orders of the previous holder may still arrive until its lease would have expired.
      if (leadership === null || clock.monotonic() - leadership.acquiredAt < authority.leaseMs) continue;
      for (const service of this.deps.engineServices()) await this.balanceRoles(service, leadership.term);
    }
  }

  private async balanceRoles(service: string, term: number): Promise<void> {
    const isPaused = (server: ServerRecord): boolean => this.deps.fleet.pauses.endsAt(server) !== null;
    const servers = this.deps.registry.available(service);
    // Others go before those that have asked for a pause.
    const inOrder = [...servers.filter((server) => !isPaused(server)), ...servers.filter(isPaused)];
    const changes = planRoles(inOrder, ({ id }) => {
      const { prefills, continuations, wholes } = this.deps.occupancy.total(id);
      return prefills + continuations + wholes === 0;
    }, this.currentShortageMs(service), this.deps.isScaled(service));
    await Promise.all(changes.filter(({ server }) => !isPaused(server) && this.mayBeOrdered(server))
      .map((change) => this.orderRole(change, term)));
  }

  /** Time in ms for which a service has had fewer decoders than its target; 0 where it has enough. */
  private currentShortageMs(service: string): number {
    const servers = this.deps.registry.available(service);
    const now = this.deps.clock.monotonic();
    const decoders = servers.filter(({ role }) => role === Role.Decode).length;
    if (decoders >= targetDecoderCount(servers, this.deps.isScaled(service))) {
      this.shortageSince.delete(service);
      return 0;
    }
    const since = this.shortageSince.get(service) ?? now;
    this.shortageSince.set(service, since);
    return now - since;
  }

  private mayBeOrdered({ id, service }: ServerRecord): boolean {
    const isNew = this.deps.clock.monotonic() - this.deps.registry.knownSince(id) < MIN_KNOWN_MS;
    if (isNew && this.deps.isScaled(service)) return false;
    const lastOrderAt = this.orderedAt.get(id);
    return lastOrderAt === undefined || this.deps.clock.monotonic() - lastOrderAt > REORDER_AFTER_MS;
  }

  private async orderRole({ server, role }: RoleChange, term: number): Promise<void> {
    const {
      codec: platformCodec, authority, log, meter, clock, control,
    } = this.deps;
    this.orderedAt.set(server.id, clock.monotonic());
    const { pool } = this.deps.fleet.serverFor(server);
    const report = await control.send(pool, server, platformCodec.reportRequest(), 'report');
    const state = report === null ? null : platformCodec.readReport(report.body);
    if (state === null) {
      log.warn('role_not_ordered', { server: server.id, reason: 'no report' });
      return;
    }
    if (!this.deps.fleet.takesRequests(server)) {
      const reason = this.deps.registry.isLeaving(server) ? 'the server leaves' : 'the server has asked for a pause';
      log.warn('role_not_ordered', { server: server.id, reason });
      return;
    }
    if (state.changing || state.role === String(role)) return;
    if (!authority.mayAct() || authority.term !== term) return;
    const answer = await control.send(pool, server, platformCodec.orderRequest(server, {
      holder: this.holder, fencingToken: term, expectedSequence: state.sequence, role,
    }), 'order');
    meter.count('role_orders', 1, { role, status: String(answer?.status ?? 'none') });
    log.info('role_ordered', {
      server: server.id, role, term, sequence: state.sequence, status: answer?.status ?? null,
    });
  }
}
