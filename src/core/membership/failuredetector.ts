import type {
  Clock, Log, PeerClient, Random,
} from '../interfaces/index.js';
import { callPeer } from './exchange.js';
import type { Member } from './members.js';
import type { Roster } from './roster.js';
import type { ProbeSchedule } from './probeschedule.js';
import {
  decodeRow, encodeRow, indirectProbeAnswerSchema, MemberState, probeSchema,
} from './rows.js';
import type { IndirectProbeMessage, MemberRow, ProbeMessage } from './rows.js';
import { sleep } from '../time.js';

const PROBE_TIMEOUT_MS = 400;
const INDIRECT_TIMEOUT_MS = 900;
const INDIRECT_HELPERS = 2;
const TICK_MS = 250;
const RECHECKS_MAX = 3;

/** Dependencies of {@link FailureDetector}. */
export interface FailureDetectorDependencies {
  readonly clock: Clock;
  readonly random: Random;
  readonly client: PeerClient;
  readonly log: Log;
}

/** Creates and handles the messages of a {@link FailureDetector}. */
export interface ProbeHandler {
  /** Creates the probe for one member. */
  createProbe(receiver: string): ProbeMessage;
  /** Merges the answer of the process at the probed address; returns the row of that process. */
  handleAnswer(message: ProbeMessage): MemberRow;
  /** Called after the detector changed the state of a member. */
  notifyChange(): void;
}

/** Failure detector: probes one member per period, directly and through helpers; suspects it if nobody reaches it. */
export class FailureDetector {
  public readonly counters = { probes: 0, failures: 0, pauses: 0 };

  /** Addresses claimed by two processes. */
  private readonly disputed = new Set<string>();

  private lastTickAt: number;

  private resumedAt: number | null = null;

  /** Incremented whenever this process notices that it was paused; probe results from before a pause are discarded. */
  private pauseEpoch = 0;

  public constructor(
    private readonly roster: Roster,
    private readonly schedule: ProbeSchedule,
    private readonly deps: FailureDetectorDependencies,
    private readonly handler: ProbeHandler,
    private readonly opts: { readonly periodMs: number; readonly pauseToleranceMs: number },
  ) {
    this.lastTickAt = deps.clock.monotonic();
  }

  /** Probes members and expires suspicions until `signal` aborts. */
  public async run(signal: AbortSignal): Promise<void> {
    this.lastTickAt = this.deps.clock.monotonic();
    await Promise.all([this.runTicks(signal), this.runProbes(signal)]);
  }

  /** Schedules a probe of an address that two processes claim; the one that answers is the current member. */
  public queueVerification(address: string): void {
    this.disputed.add(address);
  }

  /** Probes an address; returns the row of the process that answers there, or `null` without an answer. */
  public async ping(address: string, incarnation: string): Promise<MemberRow | null> {
    const message = this.handler.createProbe(incarnation);
    const opts = { timeoutMs: PROBE_TIMEOUT_MS };
    const answer = await callPeer(this.deps.client, address, 'probe', message, probeSchema, opts);
    return answer === null ? null : this.handler.handleAnswer(answer);
  }

  /** True for `spreadMs` after this process resumed from a pause: its view may still be from before the pause. */
  public isStaleAfterPause(spreadMs: number): boolean {
    this.checkPause();
    return this.resumedAt !== null && this.deps.clock.monotonic() - this.resumedAt < spreadMs;
  }

  /** Returns up to `count` random members in state alive, without `excluded`. */
  public sampleAlive(excluded: string, count: number): Member[] {
    return this.schedule.sample(count + 2)
      .filter((incarnation) => incarnation !== excluded)
      .map((incarnation) => this.roster.get(incarnation))
      .filter((row) => row?.state === MemberState.Alive)
      .map((row) => row!.member)
      .slice(0, count);
  }

  private async runTicks(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await sleep(this.deps.clock, TICK_MS, signal);
      this.checkPause();
      this.lastTickAt = this.deps.clock.monotonic();
      if (this.roster.expire()) this.handler.notifyChange();
    }
  }

  private async runProbes(signal: AbortSignal): Promise<void> {
    const { clock, random } = this.deps;
    await sleep(clock, this.opts.periodMs * random.float(), signal);
    while (!signal.aborted) {
      const next = clock.monotonic() + this.opts.periodMs * (0.9 + 0.2 * random.float());
      const target = this.schedule.next((incarnation) => {
        const row = this.roster.get(incarnation);
        return row !== null && row.state !== MemberState.Dead;
      });
      if (target !== null) await this.probe(target);
      await this.recheck();
      await sleep(clock, next - clock.monotonic(), signal);
    }
  }

  /** Probes disputed addresses, and suspected members again, so that these can refute the suspicion in time. */
  private async recheck(): Promise<void> {
    const disputed = [...this.disputed];
    this.disputed.clear();
    const suspects = this.roster.live().filter(({ state }) => state === MemberState.Suspect).slice(0, RECHECKS_MAX);
    await Promise.all([
      ...disputed.map((address) => this.ping(address, '')),
      ...suspects.map(({ member }) => this.ping(member.address, member.incarnation)),
    ]);
  }

  /** Probes one member directly, then through helpers; suspects it if neither reaches it. */
  private async probe(incarnation: string): Promise<void> {
    const row = this.roster.get(incarnation);
    if (row === null) return;
    const { pauseEpoch } = this;
    this.counters.probes += 1;
    const answer = await this.ping(row.member.address, incarnation);
    if (answer !== null) {
      const replaced = answer.member.incarnation !== incarnation;
      if (replaced && this.roster.declareReplaced(incarnation)) this.handler.notifyChange();
      return;
    }
    const { reached, helperAnswered } = await this.probeIndirectly(row);
    if (reached || this.checkPause() || pauseEpoch !== this.pauseEpoch) return;
    this.counters.failures += 1;
    // If no helper answered either, this process may itself be cut off, so it does not gossip the suspicion.
    if (!this.roster.suspect(incarnation, helperAnswered)) return;
    this.deps.log.info('member_suspected', { member: row.member.id, spread: helperAnswered });
    this.handler.notifyChange();
  }

  /** Probes a member through helpers; `helperAnswered` is also true when there are no helpers to ask. */
  private async probeIndirectly(
    row: MemberRow,
  ): Promise<{ readonly reached: boolean; readonly helperAnswered: boolean }> {
    const helpers = this.sampleAlive(row.member.incarnation, INDIRECT_HELPERS);
    const request: IndirectProbeMessage = { from: encodeRow(this.roster.self()), target: row.member.address };
    const answers = await Promise.all(helpers.map(({ address }) => (
      callPeer(this.deps.client, address, 'probeIndirect', request, indirectProbeAnswerSchema, { timeoutMs: INDIRECT_TIMEOUT_MS })
    )));
    let reached = false;
    for (const answer of answers) {
      if (answer === null) continue;
      const { from, target } = answer;
      this.handler.handleAnswer({ from, rows: target === null ? [] : [target] });
      reached ||= target !== null && decodeRow(target).member.incarnation === row.member.incarnation;
    }
    return { reached, helperAnswered: helpers.length === 0 || answers.some((answer) => answer !== null) };
  }

  /**
   * Detects that this process was paused; true if so. All suspicions then restart, because messages that refute them
   * may have arrived during the pause and not been read yet.
   */
  private checkPause(): boolean {
    const time = this.deps.clock.monotonic();
    const lateMs = time - this.lastTickAt - TICK_MS;
    if (lateMs <= this.opts.pauseToleranceMs) return false;
    this.lastTickAt = time;
    this.resumedAt = time;
    this.pauseEpoch += 1;
    this.counters.pauses += 1;
    for (const incarnation of this.roster.restartSuspicions()) this.schedule.moveToFront(incarnation);
    this.deps.log.warn('process_paused', { lateMs: Math.round(lateMs) });
    return true;
  }
}
