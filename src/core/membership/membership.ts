import { DisposableStore } from '../disposables.js';
import type {
  Clock, Disposable, Log, PeerClient, PeerError, PeerServer, Random,
} from '../interfaces/index.js';
import { FailureDetector } from './failuredetector.js';
import { Exchange, malformedMessage } from './exchange.js';
import type { RowsMessage } from './exchange.js';
import { GossipQueue } from './gossip.js';
import type { LocalFacts, Member, Members } from './members.js';
import { Announcements } from './announcements.js';
import type { AnnouncementListener } from './announcements.js';
import { invariant, ok } from '../result.js';
import type { Result } from '../result.js';
import { runTogether } from '../unexpected.js';
import { Roster } from './roster.js';
import { ProbeSchedule } from './probeschedule.js';
import {
  decodeRow, encodeRow, indirectProbeSchema, MemberState, MESSAGE_MAX_ANNOUNCEMENTS, MESSAGE_MAX_ROWS,
  messageBytes, announcementSchema, probeSchema,
} from './rows.js';
import type {
  IndirectProbeAnswer, MemberRow, Announcement, ProbeMessage, WireRow,
} from './rows.js';

/** Settings of {@link Membership}; defaults in brackets. */
export interface MembershipOptions {
  /** Addresses of other entries from the settings; unreachable ones are retried forever. */
  readonly seeds: readonly string[];
  /** Time between two probes [1000 ms]. */
  readonly probeMs?: number;
  /** Time between two exchanges that repair missed gossip [10 s]. */
  readonly exchangeMs?: number;
  /** Timer delay above which this process counts as paused and discards its probe results [1000 ms]. */
  readonly pauseToleranceMs?: number;
}

/** Dependencies of {@link Membership}. */
export interface MembershipDependencies {
  readonly clock: Clock;
  readonly random: Random;
  readonly client: PeerClient;
  readonly server: PeerServer;
  readonly log: Log;
}

const URGENT_TARGETS = 3;
const DEPART_TIMEOUT_MS = 400;

/** Bytes of rows in one probe. Several changes fit; with announcements the send rate stays far below 4 KB/s. */
const PROBE_ROWS_BYTES = 512;
/** Bytes of rows in one probe while many changes are queued, as for a few seconds after the loss of a region. */
const BURST_ROWS_BYTES = 4_096;
const BURST_CHANGES = 8;
const PROBE_ANNOUNCEMENTS_BYTES = 256;
/** Unchanged rows added to a probe, if there is space, to pass on the current load and revision of their members. */
const REFRESH_ROWS = 2;

/** Creates the incarnation of a starting process: its start time, which orders incarnations, and a random part. */
export function createIncarnation(clock: Clock, random: Random): string {
  return `${clock.now().getTime().toString(36)}-${random.id().slice(0, 12)}`;
}

/** Membership after SWIM: direct and indirect probes, suspicion with refutation, and changes piggybacked on probes. */
export class Membership implements Members {
  private readonly roster: Roster;

  private readonly changes: GossipQueue<WireRow>;

  private readonly announcements = new Announcements();

  private readonly exchange: Exchange;

  private readonly listeners = new Set<() => void>();

  private readonly schedule: ProbeSchedule;

  private readonly detector: FailureDetector;

  public constructor(
    self: Member,
    private readonly deps: MembershipDependencies,
    private readonly opts: MembershipOptions,
  ) {
    this.schedule = new ProbeSchedule(deps.random);
    this.roster = new Roster(self, deps.clock, {
      spread: (incarnation) => this.spread(incarnation),
      added: (incarnation) => this.schedule.add(incarnation),
      addressDisputed: (address) => this.detector.queueVerification(address),
    });
    this.changes = new GossipQueue((incarnation) => {
      const row = this.roster.get(incarnation);
      return row === null ? null : encodeRow(row);
    });
    this.detector = new FailureDetector(this.roster, this.schedule, deps, {
      createProbe: (receiver) => this.createProbe(receiver),
      handleAnswer: (message) => this.receive(message, true),
      notifyChange: () => this.notify(),
    }, { periodMs: opts.probeMs ?? 1_000, pauseToleranceMs: opts.pauseToleranceMs ?? 1_000 });
    this.exchange = new Exchange(
      this.roster,
      deps,
      { seeds: opts.seeds, periodMs: opts.exchangeMs ?? 10_000 },
      (message, direct) => this.receive(message, direct, true),
    );
  }

  public self(): Member {
    return this.roster.self().member;
  }

  public live(): readonly Member[] {
    return this.roster.live().map(({ member }) => member);
  }

  /**
   * True while a member is suspected and has not refuted that. After a pause of this process it is true for all other
   * members until updates had time to arrive, because any of them may have left during the pause.
   */
  public isSuspect(incarnation: string): boolean {
    if (incarnation === this.self().incarnation) return false;
    return this.roster.get(incarnation)?.state === MemberState.Suspect
      || this.detector.isStaleAfterPause(this.spreadMs());
  }

  public update(facts: Partial<LocalFacts>): void {
    const { leaving } = this.self();
    this.roster.update(facts);
    if (this.self().leaving !== leaving) this.notify();
  }

  public onChange(listener: () => void): Disposable {
    this.listeners.add(listener);
    return { dispose: () => this.listeners.delete(listener) };
  }

  /** Time in ms after which each member has either received a change or is suspected. */
  public spreadMs(): number {
    const rounds = 2 + Math.ceil(Math.log2(this.roster.live().length + 2));
    return rounds * (this.opts.probeMs ?? 1_000);
  }

  /**
   * Sends an announcement to all members; `key` identifies it within its topic. Throws unless the topic has 1 to 64,
   * the key 1 to 128 and the value at most 128 characters.
   */
  public publish(topic: string, key: string, value: string): void {
    invariant(announcementSchema.safeParse([topic, key, value]).success, 'an announcement does not fit into a membership message');
    this.announcements.put([topic, key, value]);
    this.gossipNow();
  }

  /** Subscribes to a topic; the listener returns whether the announcement was new, and only then it is forwarded. */
  public onAnnouncement(topic: string, listener: AnnouncementListener): Disposable {
    return this.announcements.subscribe(topic, listener);
  }

  /** Notifies a few members that this process ends; for use at the end of a planned stop. */
  public async depart(): Promise<void> {
    const message: ProbeMessage = {
      from: encodeRow(this.roster.self()), rows: [encodeRow(this.roster.departureRow())],
    };
    await Promise.all(this.detector.sampleAlive('', URGENT_TARGETS).map(({ address }) => (
      this.deps.client.call(address, 'probe', message, { timeoutMs: DEPART_TIMEOUT_MS })
    )));
  }

  /** Joins through the seeds and takes part in the membership until `signal` aborts. */
  public async run(signal: AbortSignal): Promise<void> {
    const store = new DisposableStore();
    const { server } = this.deps;
    store.add(server.register('probe', async (params) => this.onProbe(params)));
    store.add(server.register('probeIndirect', async (params) => this.onProbeIndirect(params)));
    store.add(server.register('exchange', async (params) => this.exchange.handle(params)));
    try {
      await runTogether(signal, [
        (stopped) => this.detector.run(stopped), (stopped) => this.exchange.run(stopped),
      ]);
    } finally {
      store.dispose();
    }
  }

  /** Dumps the state under stable keys, with ages in ms. */
  public dump(): Record<string, unknown> {
    const { member, counter } = this.roster.self();
    return {
      self: { ...member, counter },
      members: this.roster.all().map((known) => ({
        ...known.row.member,
        state: known.row.state,
        counter: known.row.counter,
        stateAgeMs: known.stateAgeMs(),
        factsAgeMs: known.factsAgeMs(),
      })),
      pendingChanges: this.changes.size,
      pendingNotes: this.announcements.size,
      ...this.detector.counters,
    };
  }

  private onProbe(params: unknown): Result<ProbeMessage, PeerError> {
    const message = probeSchema.safeParse(params);
    if (!message.success) return malformedMessage();
    const sender = this.receive(message.data, false);
    return ok(this.createProbe(sender.member.incarnation));
  }

  private async onProbeIndirect(params: unknown): Promise<Result<IndirectProbeAnswer, PeerError>> {
    const message = indirectProbeSchema.safeParse(params);
    if (!message.success) return malformedMessage();
    this.merge([message.data.from]);
    const target = await this.detector.ping(message.data.target, '');
    return ok({ from: encodeRow(this.roster.self()), target: target === null ? null : encodeRow(target) });
  }

  /** Creates a probe for one member. The row of that member comes first, so that it can refute a suspicion. */
  private createProbe(receiver: string): ProbeMessage {
    const rows: WireRow[] = [];
    const add = (row: WireRow): void => {
      if (!rows.some((other) => other[1] === row[1])) rows.push(row);
    };
    const receiverRow = this.roster.get(receiver);
    if (receiverRow !== null && receiverRow.state !== MemberState.Alive) add(encodeRow(receiverRow));
    const members = this.roster.live().length;
    const budgetBytes = this.changes.size > BURST_CHANGES ? BURST_ROWS_BYTES : PROBE_ROWS_BYTES;
    this.changes.take(budgetBytes, members, MESSAGE_MAX_ROWS / 2).forEach(add);
    let remainingBytes = PROBE_ROWS_BYTES - rows.reduce((sum, row) => sum + messageBytes(row), 0);
    for (const sampledIncarnation of this.schedule.sample(REFRESH_ROWS)) {
      const sampledRow = sampledIncarnation === receiver ? null : this.roster.get(sampledIncarnation);
      if (sampledRow === null || sampledRow.state !== MemberState.Alive) continue;
      const wire = encodeRow(sampledRow);
      remainingBytes -= messageBytes(wire);
      if (remainingBytes >= 0) add(wire);
    }
    const notes = this.announcements.take(PROBE_ANNOUNCEMENTS_BYTES, members, MESSAGE_MAX_ANNOUNCEMENTS);
    return { from: encodeRow(this.roster.self()), rows, ...(notes.length === 0 ? {} : { notes }) };
  }

  /**
   * Merges a message and returns the row of its sender. `direct` means that `from` is the answer of the process at the
   * called address, `repair` that the message belongs to an exchange.
   */
  private receive(
    message: RowsMessage & { readonly notes?: readonly Announcement[] | undefined },
    direct: boolean,
    repair = false,
  ): MemberRow {
    const sender = decodeRow(message.from);
    let changed = this.roster.merge(sender, { direct });
    changed = this.merge(message.rows, repair) || changed;
    if (changed) this.notify();
    // New announcements are forwarded at once, so that they cross a large fleet in a few hops instead of a few periods.
    if (this.announcements.receive(message.notes ?? [])) this.gossipNow();
    return sender;
  }

  private merge(rows: readonly WireRow[], repair = false): boolean {
    let changed = false;
    for (const row of rows) changed = this.roster.merge(decodeRow(row), { repair }) || changed;
    return changed;
  }

  private spread(incarnation: string): void {
    this.changes.put(incarnation);
    // A refutation must reach every member before the suspicion expires there.
    if (incarnation === this.self().incarnation) this.gossipNow();
  }

  /** Probes a few members at once, so that an urgent change does not wait for the next period. */
  private gossipNow(): void {
    for (const member of this.detector.sampleAlive('', URGENT_TARGETS)) {
      void this.detector.ping(member.address, member.incarnation);
    }
  }

  private notify(): void {
    for (const listener of this.listeners) listener();
  }
}
