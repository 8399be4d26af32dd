import type {
  Clock, Disposable, Log, Meter,
} from '../../core/interfaces/index.js';
import { isProven } from '../openruns.js';
import type { Run } from '../openruns.js';
import type { ServerRecord } from '../serverregistry.js';
import {
  Evidence, isQuarantined, MAX_KEYS_PER_RUN, MAX_RUNS, nextTrialAt, Override, releasedVerdict,
} from './evidence.js';
import type { News, PartState, Suspicion } from './evidence.js';
import { WHOLE_PROMPT_MARK } from './verdict.js';
import type { SuspectRun } from './verdict.js';

/** Largest number of parts that were seen to work and are remembered. */
const MAX_PROVEN = 16_384;

/**
 * Time in ms after the end of a server within which an answer shows that only connections had broken. Later, the server
 * may have started again under the same id, and its new record has not been read yet.
 */
const MAX_REFUTATION_MS = 1_000;

/**
 * Time in ms after an end until whole prompts are judged by it. A sound call is often at two ends together with the one
 * that causes them, and one gateway may have only the sound one.
 */
const SETTLE_MS = 50;

const NO_PARTS: ReadonlyMap<string, PartState> = new Map();

/** Dependencies of {@link Quarantine}. */
export interface QuarantineDependencies {
  readonly clock: Clock;
  readonly log: Log;
  readonly meter: Meter;
}

/** Called with the keys of parts that have been put into quarantine. */
export type BlockedListener = (keys: ReadonlySet<string>) => void;

/** Called with what has become known here. */
export type NewsListener = (news: News) => void;

/** Key of a prompt part; engines of different services run different models. */
export function partKey(service: string, part: string): string {
  return `${service}/${part}`;
}

/** Ids of a run that are examined: as many parts from the beginning as fit, and the whole prompt, which stands last. */
function examinedIds(parts: readonly string[]): readonly string[] {
  return [...parts.slice(0, -1).slice(0, MAX_KEYS_PER_RUN - 1), ...parts.slice(-1)];
}

function incarnationOf({ id, bornAt }: ServerRecord): string {
  return `${id}@${bornAt}`;
}

/**
 * Keeps the prompt parts that crash servers from them. It learns from the calls that were open when a server ended and
 * from those that were answered, here and at other gateways.
 */
export class Quarantine {
  private readonly evidence = new Evidence();

  /** Monotonic times in ms at which parts were seen to work here, the oldest first. */
  private readonly proven = new Map<string, number>();

  private blocked: ReadonlySet<string> = new Set();

  private readonly blockedListeners = new Set<BlockedListener>();

  private readonly newsListeners = new Set<NewsListener>();

  public constructor(private readonly deps: QuarantineDependencies) {}

  /** Calls `listener` whenever parts are put into quarantine. */
  public onBlocked(listener: BlockedListener): Disposable {
    this.blockedListeners.add(listener);
    return { dispose: () => this.blockedListeners.delete(listener) };
  }

  /** Calls `listener` with everything that other gateways should learn. */
  public onNews(listener: NewsListener): Disposable {
    this.newsListeners.add(listener);
    return { dispose: () => this.newsListeners.delete(listener) };
  }

  /** Whether anything is in quarantine. */
  public get hasBlocked(): boolean {
    return this.blocked.size > 0;
  }

  /** Key of a part in quarantine among those of a prompt, or `null`. */
  public findBlocked(service: string, parts: readonly string[]): string | null {
    if (this.blocked.size === 0) return null;
    return parts.map((part) => partKey(service, part)).find((key) => this.blocked.has(key)) ?? null;
  }

  /** Whether any server has ended under a part that is remembered. */
  public get hasSuspects(): boolean {
    return this.evidence.hasSuspects;
  }

  /** Part of a prompt that is the likeliest cause of servers' ends, if there is any; it need not be in quarantine. */
  public suspicionOf(service: string, parts: readonly string[]): Suspicion | null {
    return this.evidence.likeliestSuspect(examinedIds(parts).map((part) => partKey(service, part)));
  }

  /** Time in ms until a call may try a part in quarantine; 0 where one may now. */
  public trialDelayMs(key: string): number {
    return Math.max(0, nextTrialAt(this.evidence.part(key)) - this.deps.clock.monotonic());
  }

  /** Lets one call try a part in quarantine; false where it is not in quarantine or it is too early. */
  public startTrial(key: string): boolean {
    const part = this.evidence.part(key);
    if (!isQuarantined(part) || this.trialDelayMs(key) > 0) return false;
    const trials = part.trials + 1;
    this.deps.log.info('part_tried', { part: key, trials });
    this.learn({ ends: new Map(), parts: new Map([[key, { ...part, trials, trialAt: this.deps.clock.monotonic() }]]) });
    return true;
  }

  /** Records that a server has ended with these runs open. */
  public recordEnd(record: ServerRecord, runs: readonly Run[]): void {
    const suspects = new Map<string, SuspectRun>();
    for (const run of runs) {
      if (isProven(run) || run.sentAt === null || run.parts.length === 0 || suspects.size === MAX_RUNS) continue;
      const keys = examinedIds(run.parts).map((part) => partKey(record.service, part));
      suspects.set(run.request ?? '', { keys, sentAt: run.sentAt });
    }
    if (suspects.size === 0) return;
    const at = this.deps.clock.monotonic();
    this.learn({ ends: new Map([[incarnationOf(record), { at, refuted: false, runs: suspects }]]), parts: new Map() });
  }

  /** Records an answer of a server to a call; an incarnation that answers soon after its end has not ended. */
  public recordAnswer(record: ServerRecord, sentAt: number): void {
    const incarnation = incarnationOf(record);
    const end = this.evidence.all().ends.get(incarnation);
    const isSoonAfter = end !== undefined && sentAt > end.at && sentAt - end.at < MAX_REFUTATION_MS;
    if (end === undefined || end.refuted || !isSoonAfter) return;
    this.deps.log.info('server_end_refuted', { server: record.id, born: record.bornAt });
    this.learn({ ends: new Map([[incarnation, { ...end, refuted: true }]]), parts: new Map() });
  }

  /** Records that an answer has gone on or was complete, so that the parts of its prompt work. */
  public recordProof({ service }: ServerRecord, { parts }: Run): void {
    const now = this.deps.clock.monotonic();
    const proofs = new Map<string, PartState>();
    for (const part of examinedIds(parts)) {
      const key = partKey(service, part);
      // Hardly any whole prompt comes twice, and they would push out the parts.
      if (!part.startsWith(WHOLE_PROMPT_MARK)) {
        this.proven.delete(key);
        this.proven.set(key, now);
      }
      if (this.evidence.concerns(key)) proofs.set(key, { ...this.evidence.part(key), provenAt: now });
    }
    for (const oldest of this.proven.keys()) {
      if (this.proven.size <= MAX_PROVEN) break;
      this.proven.delete(oldest);
    }
    if (proofs.size > 0) this.learn({ ends: new Map(), parts: proofs });
  }

  /** Carries out an operator's order for a part; `null` releases it and forgets earlier orders. */
  public order(key: string, override: Override.Block | Override.Allow | null): void {
    const part = this.evidence.part(key);
    this.deps.log.info('part_ordered', { part: key, order: override ?? 'clear' });
    const orders = part.orders + 1;
    const ordered: PartState = override === null
      ? {
        ...part,
        orders,
        override: Override.None,
        provenAt: this.deps.clock.monotonic(),
        verdict: releasedVerdict(part),
      }
      : { ...part, orders, override };
    this.learn({ ends: new Map(), parts: new Map([[key, ordered]]) });
  }

  /** Merges what another gateway knows, or what has happened here, and passes on what is new. */
  public learn(news: News): void {
    const now = this.deps.clock.monotonic();
    const merged = this.evidence.merge(news, now);
    const parts = new Map(merged.parts);
    for (const [key, part] of this.ownProofs(merged, now)) parts.set(key, part);
    const judged = merged.ends.size > 0 ? this.evidence.judge(now, now - SETTLE_MS) : NO_PARTS;
    for (const [key, part] of judged) parts.set(key, part);
    if (merged.ends.size === 0 && parts.size === 0) return;
    if (merged.ends.size > 0) this.deps.clock.after(SETTLE_MS, () => this.judgeSettled());
    this.updateBlocked(judged);
    for (const listener of this.newsListeners) listener({ ends: merged.ends, parts });
  }

  /** Judges whole prompts once other gateways have told which calls they had open at the same ends. */
  private judgeSettled(): void {
    const now = this.deps.clock.monotonic();
    const judged = this.evidence.judge(now, now - SETTLE_MS);
    if (judged.size === 0) return;
    this.updateBlocked(judged);
    for (const listener of this.newsListeners) listener({ ends: new Map(), parts: judged });
  }

  /** Everything that is known, for another gateway. */
  public all(): News {
    return this.evidence.all();
  }

  /** Text that is the same at gateways that know the same. */
  public summary(): string {
    return this.evidence.summary();
  }

  /** Forgets what is old. */
  public expire(): void {
    this.evidence.expire(this.deps.clock.monotonic());
    this.updateBlocked();
  }

  /** Parts in quarantine, suspects and ends, with ages in ms. */
  public dump(): Record<string, unknown> {
    const now = this.deps.clock.monotonic();
    const ageMs = (at: number): number | null => (at === -Infinity ? null : Math.round(now - at));
    const { ends, parts } = this.evidence.all();
    return {
      parts: [...parts].map(([key, part]) => ({
        part: key,
        quarantined: isQuarantined(part),
        quarantined_age_ms: ageMs(part.quarantinedAt),
        proven_age_ms: ageMs(part.provenAt),
        trials: part.trials,
        next_trial_ms: isQuarantined(part) && part.override === Override.None ? this.trialDelayMs(key) : null,
        order: part.override,
      })),
      ends: [...ends].map(([incarnation, { at, refuted, runs }]) => ({
        server: incarnation,
        age_ms: ageMs(at),
        refuted,
        suspects: [...runs].map(([request, { keys }]) => ({ request, parts: keys })),
      })),
      proven: this.proven.size,
    };
  }

  /** What this gateway has seen to work of the parts that newly reported ends concern. */
  private ownProofs(news: News, now: number): ReadonlyMap<string, PartState> {
    const proofs = new Map<string, PartState>();
    for (const { runs } of news.ends.values()) {
      for (const key of [...runs.values()].flatMap(({ keys }) => keys)) {
        const provenAt = this.proven.get(key);
        if (provenAt !== undefined) proofs.set(key, { ...this.evidence.part(key), provenAt });
      }
    }
    return proofs.size === 0 ? proofs : this.evidence.merge({ ends: new Map(), parts: proofs }, now).parts;
  }

  /** `judged` are the parts on which this gateway has reached a verdict itself. */
  private updateBlocked(judged: ReadonlyMap<string, PartState> = NO_PARTS): void {
    const { log, meter } = this.deps;
    const { parts, ends } = this.evidence.all();
    const blocked = new Set([...parts].filter(([, part]) => isQuarantined(part)).map(([key]) => key));
    const added = new Set([...blocked].filter((key) => !this.blocked.has(key)));
    for (const key of added) {
      const under = [...ends].filter(([, { runs }]) => [...runs.values()].some(({ keys }) => keys.includes(key)));
      log.warn('part_quarantined', {
        part: key,
        judged_here: judged.has(key),
        servers: under.map(([incarnation]) => incarnation).join(' '),
      });
    }
    for (const key of this.blocked) if (!blocked.has(key)) log.info('part_released', { part: key });
    this.blocked = blocked;
    meter.gauge('quarantined_parts', blocked.size);
    meter.gauge('server_ends_known', ends.size);
    if (added.size > 0) for (const listener of this.blockedListeners) listener(added);
  }
}
