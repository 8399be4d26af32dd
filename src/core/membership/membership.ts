import { DisposableStore } from '../disposables.js';
import type {
  Clock, Disposable, Log, PeerClient, PeerError, PeerServer, Random,
} from '../edges/index.js';
import { Detector } from './detector.js';
import { Exchange, malformed } from './exchange.js';
import type { RowsFrom } from './exchange.js';
import { GossipQueue } from './gossip.js';
import type { LocalFacts, Member, Members } from './members.js';
import { Notes } from './notes.js';
import type { NoteListener } from './notes.js';
import { invariant, ok } from '../result.js';
import type { Result } from '../result.js';
import { Roster } from './roster.js';
import { Rounds } from './rounds.js';
import {
  decodeRow, encodeRow, indirectSchema, MemberState, MESSAGE_MAX_NOTES, MESSAGE_MAX_ROWS,
  messageBytes, noteSchema, probeSchema,
} from './rows.js';
import type {
  IndirectAnswer, MemberRow, Note, ProbeMessage, WireRow,
} from './rows.js';

/** Settings of {@link Membership}; defaults in brackets. */
export interface MembershipOptions {
  /** Addresses of other entries from settings; unreachable ones are tried again for ever. */
  readonly seeds: readonly string[];
  /** Time between two probes [1000 ms]. */
  readonly probeMs?: number;
  /** Time between two exchanges that repair missed gossip [10 s]. */
  readonly exchangeMs?: number;
  /** A process whose timers are later than this does not trust its own verdicts [1000 ms]. */
  readonly pauseToleranceMs?: number;
}

/** Edges of {@link Membership}. */
export interface MembershipEdges {
  readonly clock: Clock;
  readonly random: Random;
  readonly client: PeerClient;
  readonly server: PeerServer;
  readonly log: Log;
}

const HURRY_TARGETS = 3;
const DEPART_TIMEOUT_MS = 400;

/** Bytes of rows and notes in one probe; several changes fit, and the rate stays far below 4 KB/s. */
const PROBE_ROWS_BYTES = 512;
/** While many changes wait, as after the loss of a region, probes carry more of them for a few seconds. */
const BURST_ROWS_BYTES = 4_096;
const BURST_CHANGES = 8;
const PROBE_NOTES_BYTES = 256;
/** Rows of recent load and revision that fill up a probe, beside changes. */
const FACT_ROWS = 2;

/** Incarnation of a starting process: its start time, so that later starts sort last, and a random part. */
export function createIncarnation(clock: Clock, random: Random): string {
  return `${clock.now().getTime().toString(36)}-${random.id().slice(0, 12)}`;
}

/** SWIM-like membership: probes, indirect probes, suspicion with refutation, and piggybacked changes. */
export class Membership implements Members {
  private readonly roster: Roster;

  private readonly changes: GossipQueue<WireRow>;

  private readonly notes = new Notes();

  private readonly exchange: Exchange;

  private readonly listeners = new Set<() => void>();

  private readonly rounds: Rounds;

  private readonly detector: Detector;

  public constructor(
    self: Member,
    private readonly edges: MembershipEdges,
    private readonly opts: MembershipOptions,
  ) {
    this.rounds = new Rounds(edges.random);
    this.roster = new Roster(self, edges.clock, {
      spread: (incarnation) => this.spread(incarnation),
      added: (incarnation) => this.rounds.add(incarnation),
      verify: (address) => this.detector.verify(address),
    });
    this.changes = new GossipQueue((incarnation) => {
      const row = this.roster.get(incarnation);
      return row === null ? null : encodeRow(row);
    });
    this.detector = new Detector(this.roster, this.rounds, edges, {
      message: (receiver) => this.message(receiver),
      receive: (message) => this.receive(message, true),
      changed: () => this.notify(),
    }, { periodMs: opts.probeMs ?? 1_000, pauseToleranceMs: opts.pauseToleranceMs ?? 1_000 });
    this.exchange = new Exchange(
      this.roster,
      edges,
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
   * True while a member has not answered and has not refuted that yet. After a pause of this process it is true for
   * all others until news had time to arrive, because they may have left in the meantime.
   */
  public suspected(incarnation: string): boolean {
    if (incarnation === this.self().incarnation) return false;
    return this.roster.get(incarnation)?.state === MemberState.Suspect || this.detector.stale(this.spreadMs());
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

  /** Time in ms within which a change reaches all reachable members, or the unreachable ones are suspected. */
  public spreadMs(): number {
    const rounds = 2 + Math.ceil(Math.log2(this.roster.live().length + 2));
    return rounds * (this.opts.probeMs ?? 1_000);
  }

  /** Spreads a small fact to all members; `key` identifies it within its topic. Facts over 128 characters fail. */
  public publish(topic: string, key: string, value: string): void {
    invariant(noteSchema.safeParse([topic, key, value]).success, 'a note does not fit into a membership message');
    this.notes.put([topic, key, value]);
    this.hurry();
  }

  /** Receives facts of a topic; the listener returns whether the fact was new, and only then it is passed on. */
  public onNote(topic: string, listener: NoteListener): Disposable {
    return this.notes.on(topic, listener);
  }

  /** Tells a few members that this process ends; for use after a planned stop. */
  public async depart(): Promise<void> {
    const message: ProbeMessage = { from: encodeRow(this.roster.self()), rows: [encodeRow(this.roster.farewell())] };
    await Promise.all(this.detector.healthy('', HURRY_TARGETS).map(({ address }) => (
      this.edges.client.call(address, 'probe', message, { timeoutMs: DEPART_TIMEOUT_MS })
    )));
  }

  /** Joins by the seeds and takes part until `signal` aborts. */
  public async run(signal: AbortSignal): Promise<void> {
    const store = new DisposableStore();
    const { server } = this.edges;
    store.add(server.register('probe', async (params) => this.onProbe(params)));
    store.add(server.register('probeIndirect', async (params) => this.onProbeIndirect(params)));
    store.add(server.register('exchange', async (params) => this.exchange.answer(params)));
    await Promise.all([this.detector.run(signal), this.exchange.run(signal)]);
    store.dispose();
  }

  /** State under stable keys, with ages in ms. */
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
      pendingNotes: this.notes.size,
      ...this.detector.counters,
    };
  }

  private onProbe(params: unknown): Result<ProbeMessage, PeerError> {
    const message = probeSchema.safeParse(params);
    if (!message.success) return malformed();
    const sender = this.receive(message.data, false);
    return ok(this.message(sender.member.incarnation));
  }

  private async onProbeIndirect(params: unknown): Promise<Result<IndirectAnswer, PeerError>> {
    const message = indirectSchema.safeParse(params);
    if (!message.success) return malformed();
    this.merge([message.data.from]);
    const target = await this.detector.ping(message.data.target, '');
    return ok({ from: encodeRow(this.roster.self()), target: target === null ? null : encodeRow(target) });
  }

  /** Message to one member; what is thought of that member comes first, so that it can refute a suspicion. */
  private message(receiver: string): ProbeMessage {
    const rows: WireRow[] = [];
    const add = (row: WireRow): void => {
      if (!rows.some((other) => other[1] === row[1])) rows.push(row);
    };
    const view = this.roster.get(receiver);
    if (view !== null && view.state !== MemberState.Alive) add(encodeRow(view));
    const members = this.roster.live().length;
    const budgetBytes = this.changes.size > BURST_CHANGES ? BURST_ROWS_BYTES : PROBE_ROWS_BYTES;
    this.changes.take(budgetBytes, members, MESSAGE_MAX_ROWS / 2).forEach(add);
    let spare = PROBE_ROWS_BYTES - rows.reduce((sum, row) => sum + messageBytes(row), 0);
    for (const row of this.rounds.sample(FACT_ROWS)) {
      const facts = row === receiver ? null : this.roster.get(row);
      if (facts === null || facts.state !== MemberState.Alive) continue;
      const wire = encodeRow(facts);
      spare -= messageBytes(wire);
      if (spare >= 0) add(wire);
    }
    const notes = this.notes.take(PROBE_NOTES_BYTES, members, MESSAGE_MAX_NOTES);
    return { from: encodeRow(this.roster.self()), rows, ...(notes.length === 0 ? {} : { notes }) };
  }

  /** Takes in a message; `direct` means that `from` is the answer of the process at the called address. */
  private receive(
    message: RowsFrom & { readonly notes?: readonly Note[] | undefined },
    direct: boolean,
    repair = false,
  ): MemberRow {
    const sender = decodeRow(message.from);
    let changed = this.roster.merge(sender, { direct });
    changed = this.merge(message.rows, repair) || changed;
    if (changed) this.notify();
    // News is passed on at once, so that it crosses a large fleet within a few hops instead of a few periods.
    if (this.notes.receive(message.notes ?? [])) this.hurry();
    return sender;
  }

  private merge(rows: readonly WireRow[], repair = false): boolean {
    let changed = false;
    for (const row of rows) changed = this.roster.merge(decodeRow(row), { repair }) || changed;
    return changed;
  }

  private spread(incarnation: string): void {
    this.changes.put(incarnation);
    // A refutation must arrive before the suspicion runs out anywhere.
    if (incarnation === this.self().incarnation) this.hurry();
  }

  /** Probes a few members at once, so that an urgent change does not wait for the next round. */
  private hurry(): void {
    for (const member of this.detector.healthy('', HURRY_TARGETS)) {
      void this.detector.ping(member.address, member.incarnation);
    }
  }

  private notify(): void {
    for (const listener of this.listeners) listener();
  }
}
