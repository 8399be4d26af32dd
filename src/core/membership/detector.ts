import type {
  Clock, Log, PeerClient, Random,
} from '../edges/index.js';
import { ask } from './exchange.js';
import type { Member } from './members.js';
import type { Roster } from './roster.js';
import type { Rounds } from './rounds.js';
import {
  decodeRow, encodeRow, indirectAnswerSchema, MemberState, probeSchema,
} from './rows.js';
import type { IndirectMessage, MemberRow, ProbeMessage } from './rows.js';
import { sleep } from '../time.js';

const PROBE_TIMEOUT_MS = 400;
const INDIRECT_TIMEOUT_MS = 900;
const INDIRECT_HELPERS = 2;
const TICK_MS = 250;
const RECHECKS_MAX = 3;

/** Edges of {@link Detector}. */
export interface DetectorEdges {
  readonly clock: Clock;
  readonly random: Random;
  readonly client: PeerClient;
  readonly log: Log;
}

/** What the detector needs of its owner. */
export interface DetectorOwner {
  /** Probe to send to one member. */
  message(receiver: string): ProbeMessage;
  /** Takes in the answer of the process at the probed address; returns its row. */
  receive(message: ProbeMessage): MemberRow;
  changed(): void;
}

/** Failure detector: one probe a period, indirect probes, suspicion, verdict. */
export class Detector {
  public readonly counters = { probes: 0, failures: 0, pauses: 0 };

  /** Addresses that two processes claim. */
  private readonly disputed = new Set<string>();

  private lastTickAt: number;

  private resumedAt: number | null = null;

  /** Grows each time this process finds that it was paused; verdicts from before that are void. */
  private epoch = 0;

  public constructor(
    private readonly roster: Roster,
    private readonly rounds: Rounds,
    private readonly edges: DetectorEdges,
    private readonly owner: DetectorOwner,
    private readonly opts: { readonly periodMs: number; readonly pauseToleranceMs: number },
  ) {
    this.lastTickAt = edges.clock.monotonic();
  }

  public async run(signal: AbortSignal): Promise<void> {
    this.lastTickAt = this.edges.clock.monotonic();
    await Promise.all([this.tick(signal), this.probeAll(signal)]);
  }

  /** Asks an address that two processes claim; its answer decides. */
  public verify(address: string): void {
    this.disputed.add(address);
  }

  /** Probes an address; the row of the process that answers there, or `null`. */
  public async ping(address: string, incarnation: string): Promise<MemberRow | null> {
    const message = this.owner.message(incarnation);
    const opts = { timeoutMs: PROBE_TIMEOUT_MS };
    const answer = await ask(this.edges.client, address, 'probe', message, probeSchema, opts);
    return answer === null ? null : this.owner.receive(answer);
  }

  /** True while what this process knows is older than a pause from which it has just returned. */
  public stale(spreadMs: number): boolean {
    this.checkPause();
    return this.resumedAt !== null && this.edges.clock.monotonic() - this.resumedAt < spreadMs;
  }

  /** Up to `count` live and unsuspected members in random order. */
  public healthy(excluded: string, count: number): Member[] {
    return this.rounds.sample(count + 2)
      .filter((incarnation) => incarnation !== excluded)
      .map((incarnation) => this.roster.get(incarnation))
      .filter((row) => row?.state === MemberState.Alive)
      .map((row) => row!.member)
      .slice(0, count);
  }

  private async tick(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await sleep(this.edges.clock, TICK_MS, signal);
      this.checkPause();
      this.lastTickAt = this.edges.clock.monotonic();
      if (this.roster.expire()) this.owner.changed();
    }
  }

  private async probeAll(signal: AbortSignal): Promise<void> {
    const { clock, random } = this.edges;
    await sleep(clock, this.opts.periodMs * random.float(), signal);
    while (!signal.aborted) {
      const next = clock.monotonic() + this.opts.periodMs * (0.9 + 0.2 * random.float());
      const target = this.rounds.next((incarnation) => {
        const row = this.roster.get(incarnation);
        return row !== null && row.state !== MemberState.Dead;
      });
      if (target !== null) await this.probe(target);
      await this.recheck();
      await sleep(clock, next - clock.monotonic(), signal);
    }
  }

  /** Asks disputed addresses, and suspected members once more, so that they learn of the suspicion in time. */
  private async recheck(): Promise<void> {
    const disputed = [...this.disputed];
    this.disputed.clear();
    const suspects = this.roster.live().filter(({ state }) => state === MemberState.Suspect).slice(0, RECHECKS_MAX);
    await Promise.all([
      ...disputed.map((address) => this.ping(address, '')),
      ...suspects.map(({ member }) => this.ping(member.address, member.incarnation)),
    ]);
  }

  /** One probe of one member: directly, then through others, then suspicion. */
  private async probe(incarnation: string): Promise<void> {
    const row = this.roster.get(incarnation);
    if (row === null) return;
    const { epoch } = this;
    this.counters.probes += 1;
    const answer = await this.ping(row.member.address, incarnation);
    if (answer !== null) {
      const replaced = answer.member.incarnation !== incarnation;
      if (replaced && this.roster.replace(incarnation)) this.owner.changed();
      return;
    }
    const { reached, heard } = await this.pingThroughOthers(row);
    if (reached || this.checkPause() || epoch !== this.epoch) return;
    this.counters.failures += 1;
    // Without a word from any helper this process may itself be cut off, so it keeps the suspicion to itself.
    if (!this.roster.suspect(incarnation, heard)) return;
    this.edges.log.info('member_suspected', { member: row.member.id, spread: heard });
    this.owner.changed();
  }

  private async pingThroughOthers(row: MemberRow): Promise<{ readonly reached: boolean; readonly heard: boolean }> {
    const helpers = this.healthy(row.member.incarnation, INDIRECT_HELPERS);
    const request: IndirectMessage = { from: encodeRow(this.roster.self()), target: row.member.address };
    const answers = await Promise.all(helpers.map(({ address }) => (
      ask(this.edges.client, address, 'probeIndirect', request, indirectAnswerSchema, { timeoutMs: INDIRECT_TIMEOUT_MS })
    )));
    let reached = false;
    for (const answer of answers) {
      if (answer === null) continue;
      const { from, target } = answer;
      this.owner.receive({ from, rows: target === null ? [] : [target] });
      reached ||= target !== null && decodeRow(target).member.incarnation === row.member.incarnation;
    }
    return { reached, heard: helpers.length === 0 || answers.some((answer) => answer !== null) };
  }

  /** After a pause every suspicion starts again, because the answers that refute it may still wait to be read. */
  private checkPause(): boolean {
    const time = this.edges.clock.monotonic();
    const lateMs = time - this.lastTickAt - TICK_MS;
    if (lateMs <= this.opts.pauseToleranceMs) return false;
    this.lastTickAt = time;
    this.resumedAt = time;
    this.epoch += 1;
    this.counters.pauses += 1;
    for (const incarnation of this.roster.restartSuspicions()) this.rounds.first(incarnation);
    this.edges.log.warn('process_paused', { lateMs: Math.round(lateMs) });
    return true;
  }
}
