import { z } from 'zod';
import type {
  Clock, Disposable, Log, Meter, PeerClient, PeerServer, Random,
} from '../../core/interfaces/index.js';
import type { Members } from '../../core/membership/index.js';
import { fail, ok } from '../../core/result.js';
import { sleep } from '../../core/time.js';
import { sampleAddresses } from '../directory.js';
import type { ServerRecord } from '../serverregistry.js';
import { isOwnFault, ReachEvidence } from './evidence.js';
import type { ReachableServer, Silence } from './evidence.js';
import type { CutOffGateways } from './peers.js';

const METHOD = 'servers.reached';

const CALL_TIMEOUT_MS = 200;

/** Number of other gateways that are asked which servers they reach. */
const ASKED_GATEWAYS = 4;

/** Time in ms between two looks at the evidence. */
const CHECK_PERIOD_MS = 100;

/** Time in ms until a silence that others see too is looked at again. */
const RECHECK_MS = 400;

/** Time in ms between two rounds of probes while no server is reached; up to as much again is added at random. */
const PROBE_PERIOD_MS = 250;

/** Number of servers that are probed in a round, and that must answer before callers are sent here again. */
const PROBED_SERVERS = 2;

/** Time in ms for a probe that shows that the servers are only slow. */
const VERIFY_MS = 250;

/** Shortest time in ms for which callers are sent elsewhere, so that links that come and go move them less often. */
const MIN_CUT_OFF_MS = 1_000;

const MAX_SERVICES = 64;

const MAX_ANSWERED_SERVERS = 64;

const questionSchema = z.object({
  services: z.array(z.string().max(200)).max(MAX_SERVICES),
  /** Age in ms of the silence that is asked about. */
  ageMs: z.number().min(0),
});

const answerSchema = z.object({ servers: z.array(z.string().max(300)).max(MAX_ANSWERED_SERVERS) });

/** Dependencies of {@link ServerReach}. */
export interface ServerReachDependencies {
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Log;
  readonly meter: Meter;
  readonly client: PeerClient;
  readonly server: PeerServer;
  readonly members: Members;
  readonly cutOff: Pick<CutOffGateways, 'announce' | 'has'>;
  /** Registered servers that do not leave. */
  readonly servers: () => readonly ServerRecord[];
  /** Asks a server anything; resolves with whether it has answered. */
  readonly probe: (server: ServerRecord) => Promise<boolean>;
}

/**
 * Finds out whether this gateway is cut off from all backend servers while other gateways reach some. A silence that
 * others see too is the servers' fault.
 */
export class ServerReach {
  private readonly evidence = new ReachEvidence();

  private readonly listeners = new Set<() => void>();

  /** Servers that have answered while this gateway counts as cut off; `null` while it does not. */
  private answeredMeanwhile: Set<string> | null = null;

  private cutOffAt = -Infinity;

  public constructor(private readonly deps: ServerReachDependencies) {}

  /** Whether this gateway reaches no server while others do. */
  public get isCutOff(): boolean {
    return this.answeredMeanwhile !== null;
  }

  /** Calls `listener` whenever this gateway has found itself cut off. */
  public onCutOff(listener: () => void): Disposable {
    this.listeners.add(listener);
    return { dispose: () => this.listeners.delete(listener) };
  }

  /** Records the head of an answer of any kind. */
  public answered(server: ReachableServer): void {
    this.evidence.answered(server, this.deps.clock.monotonic());
    this.answeredMeanwhile?.add(server.id);
  }

  /** Records that a server could not be reached, or did not answer in its usual time. */
  public failed(server: ReachableServer): void {
    this.evidence.failed(server, this.deps.clock.monotonic());
  }

  /** Looks for silences, and for the end of one, until `signal` aborts. */
  public async run(signal: AbortSignal): Promise<void> {
    const registration = this.deps.server.register(METHOD, async (params) => this.answer(params));
    try {
      while (!signal.aborted) {
        if (this.isCutOff) await this.awaitReturn(signal);
        else await this.check(signal);
      }
    } finally {
      registration.dispose();
    }
  }

  /** State under stable keys. */
  public dump(): Record<string, unknown> {
    const { clock, servers } = this.deps;
    const silence = this.evidence.silence(servers().length, clock.monotonic());
    return {
      cut_off_ms: this.isCutOff ? Math.round(clock.monotonic() - this.cutOffAt) : null,
      silent_ms: silence === null ? null : Math.round(clock.monotonic() - silence.since),
    };
  }

  private async check(signal: AbortSignal): Promise<void> {
    const { clock, servers } = this.deps;
    await sleep(clock, CHECK_PERIOD_MS, signal);
    const silence = this.evidence.silence(servers().length, clock.monotonic());
    if (silence === null || signal.aborted) return;
    const [reached] = await Promise.all([
      this.askOthers(silence),
      Promise.race([this.probe(), sleep(clock, VERIFY_MS, signal)]),
    ]);
    const isSilent = this.evidence.silence(servers().length, clock.monotonic())?.since === silence.since;
    if (isSilent && isOwnFault(reached)) this.becameCutOff(silence, reached);
    else await sleep(clock, RECHECK_MS, signal);
  }

  private becameCutOff({ since, servers, services }: Silence, reached: ReadonlySet<string>): void {
    const { clock, log, meter } = this.deps;
    this.answeredMeanwhile = new Set();
    this.cutOffAt = clock.monotonic();
    log.warn('servers_out_of_reach', {
      servers: servers.join(' '),
      services: services.join(' '),
      silent_ms: Math.round(this.cutOffAt - since),
      reached_by_others: [...reached].join(' '),
    });
    meter.gauge('servers_out_of_reach', 1);
    this.deps.cutOff.announce(true);
    for (const listener of this.listeners) listener();
  }

  private returned(): void {
    const {
      clock, log, meter, cutOff,
    } = this.deps;
    this.answeredMeanwhile = null;
    log.info('servers_in_reach', { after_ms: Math.round(clock.monotonic() - this.cutOffAt) });
    meter.gauge('servers_out_of_reach', 0);
    cutOff.announce(false);
  }

  private async awaitReturn(signal: AbortSignal): Promise<void> {
    const { clock, random, servers } = this.deps;
    await sleep(clock, PROBE_PERIOD_MS * (1 + random.float()), signal);
    if (signal.aborted) return;
    await this.probe();
    const needed = Math.min(PROBED_SERVERS, servers().length);
    const isLongEnough = clock.monotonic() - this.cutOffAt >= MIN_CUT_OFF_MS;
    if (isLongEnough && (this.answeredMeanwhile?.size ?? 0) >= needed) this.returned();
  }

  /** Asks some servers for a sign of life; hardly any call reaches a gateway that callers are not sent to. */
  private async probe(): Promise<void> {
    const { random, servers, probe } = this.deps;
    const registered = servers();
    const first = Math.floor(random.float() * registered.length);
    const chosen = [...registered.slice(first), ...registered.slice(0, first)].slice(0, PROBED_SERVERS);
    await Promise.all(chosen.map(async (server) => {
      if (await probe(server)) this.answered(server);
    }));
  }

  /** Ids of the servers that some other gateways have reached since a silence began here. */
  private async askOthers({ since, services }: Silence): Promise<ReadonlySet<string>> {
    const {
      clock, random, client, members, cutOff,
    } = this.deps;
    const others = members.live().filter(({ leaving, incarnation }) => !leaving && !cutOff.has(incarnation));
    const asked = sampleAddresses(others.map(({ address }) => address), ASKED_GATEWAYS, random);
    const question: z.infer<typeof questionSchema> = {
      services: services.slice(0, MAX_SERVICES), ageMs: clock.monotonic() - since,
    };
    const reached = new Set<string>();
    await Promise.all(asked.map(async (address) => {
      const answer = await client.call(address, METHOD, question, { timeoutMs: CALL_TIMEOUT_MS });
      const parsed = answer.success ? answerSchema.safeParse(answer.data) : null;
      if (parsed?.success === true) for (const id of parsed.data.servers) reached.add(id);
    }));
    return reached;
  }

  private answer(params: unknown) {
    const question = questionSchema.safeParse(params);
    if (!question.success) return fail({ code: 'rejected' as const, message: 'malformed' });
    const now = this.deps.clock.monotonic();
    const { services, ageMs } = question.data;
    const servers = this.evidence.reachedSince(new Set(services), now - ageMs, now);
    return ok({ servers: servers.slice(0, MAX_ANSWERED_SERVERS) });
  }
}
