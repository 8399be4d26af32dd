import type { Clock } from '../interfaces/index.js';
import {
  addHashes, bucketOf, BUCKETS, identityHash, KnownMember,
} from './knownmember.js';
import type { LocalFacts, Member } from './members.js';
import {
  encodeRow, MemberState, messageBytes, startTimeOf,
} from './rows.js';
import type { MemberRow, WireRow } from './rows.js';

/** Time in ms from the suspicion of a member until it is declared dead. */
export const SUSPICION_MS = 3_000;

/** Time in ms for which dead members are kept: they are contacted again, and outdated gossip cannot revive them. */
const DEAD_RETENTION_MS = 2 * 3_600_000;

const DEAD_MAX = 4_096;

const STATE_PRECEDENCE = { [MemberState.Alive]: 0, [MemberState.Suspect]: 1, [MemberState.Dead]: 2 };

/** Events of a {@link Roster}. */
export interface RosterEvents {
  /** The row of this member has to be gossiped. */
  spread(incarnation: string): void;
  /** A live member was added or returned. */
  added(incarnation: string): void;
  /** Two processes claim this address; the one that answers there is the current member. */
  addressDisputed(address: string): void;
}

/** All members known to this process, and the rules by which updates about them are merged. */
export class Roster {
  private readonly known = new Map<string, KnownMember>();

  private ownRow: MemberRow;

  public constructor(self: Member, private readonly clock: Clock, private readonly events: RosterEvents) {
    this.ownRow = {
      member: self, state: MemberState.Alive, counter: 0, factsVersion: 0,
    };
  }

  public self(): MemberRow {
    return this.ownRow;
  }

  public get(incarnation: string): MemberRow | null {
    if (incarnation === this.ownRow.member.incarnation) return this.ownRow;
    return this.known.get(incarnation)?.row ?? null;
  }

  /** All other members, dead ones included. */
  public all(): KnownMember[] {
    return [...this.known.values()];
  }

  /** Other members that are not dead; suspected ones are included. */
  public live(): MemberRow[] {
    return this.all().filter(({ dead }) => !dead).map(({ row }) => row);
  }

  /** Changes the reported fields of this process; only a change of the leaving flag is gossiped at once. */
  public update(facts: Partial<LocalFacts>): void {
    const member = { ...this.ownRow.member, ...facts };
    const leavingChanged = member.leaving !== this.ownRow.member.leaving;
    const counter = this.ownRow.counter + (leavingChanged ? 1 : 0);
    this.ownRow = {
      ...this.ownRow, member, counter, factsVersion: this.ownRow.factsVersion + 1,
    };
    if (leavingChanged) this.events.spread(member.incarnation);
  }

  /** Row with which this process announces its own end. */
  public departureRow(): MemberRow {
    return { ...this.ownRow, state: MemberState.Dead, counter: this.ownRow.counter + 1 };
  }

  /**
   * Merges a row; returns whether anything changed. `direct` means that the process itself answered at its address,
   * which proves that every other process at this address has ended. `repair` means that the row comes from an
   * exchange: unknown members are not gossiped then, because a joining member would send the whole roster back to the
   * members it received it from.
   */
  public merge(row: MemberRow, { direct = false, repair = false } = {}): boolean {
    const { incarnation, address } = row.member;
    if (incarnation === this.ownRow.member.incarnation) return this.refute(row);
    if (address === this.ownRow.member.address) return this.recordPredecessorDead(row);
    const known = this.known.get(incarnation);
    if (known !== undefined) return this.mergeKnown(known, row, direct);
    return this.mergeUnknown(row, direct, repair);
  }

  /** Suspects a live member; returns whether it did. `spread` is false when the suspicion must not be gossiped. */
  public suspect(incarnation: string, spread: boolean): boolean {
    const known = this.known.get(incarnation);
    if (known?.row.state !== MemberState.Alive) return false;
    known.setState(MemberState.Suspect, !spread);
    if (spread) this.events.spread(incarnation);
    return true;
  }

  /** Declares a member dead because another process has taken its place; returns whether that changed anything. */
  public declareReplaced(incarnation: string): boolean {
    return this.declareDead(incarnation, false);
  }

  /**
   * Declares members dead whose suspicion has expired, and removes those that have been dead for long. Returns whether
   * a member was declared dead.
   */
  public expire(): boolean {
    let changed = false;
    let dead = 0;
    for (const [incarnation, known] of this.known) {
      if (known.row.state === MemberState.Suspect && known.stateAgeMs() >= SUSPICION_MS) {
        changed = this.declareDead(incarnation, known.unconfirmed) || changed;
      } else if (known.dead) {
        dead += 1;
        if (known.stateAgeMs() >= DEAD_RETENTION_MS || dead > DEAD_MAX) this.known.delete(incarnation);
      }
    }
    return changed;
  }

  /** Restarts the time of all suspicions; returns the incarnations of the suspected members. */
  public restartSuspicions(): string[] {
    const suspects = this.all().filter(({ row }) => row.state === MemberState.Suspect);
    for (const known of suspects) known.restartStateTimer();
    return suspects.map(({ row }) => row.member.incarnation);
  }

  /** Hash of each bucket over incarnation, counter and leaving flag of the live members, this process included. */
  public bucketHashes(): string[] {
    const sums = new Array<number>(BUCKETS).fill(0);
    const own = bucketOf(this.ownRow.member.incarnation);
    sums[own] = identityHash(this.ownRow);
    for (const { dead, bucket, hash } of this.known.values()) {
      if (!dead) sums[bucket] = addHashes(sums[bucket]!, hash);
    }
    return sums.map((sum) => sum.toString(36));
  }

  /**
   * Rows of some buckets in order of their incarnation, dead members included: those after the incarnation `after`, at
   * most `limit` of them and at most `budgetBytes` together.
   */
  public page(
    buckets: ReadonlySet<number>,
    after: string,
    budgetBytes: number,
    limit: number,
  ): { readonly rows: WireRow[]; readonly more: boolean } {
    const { incarnation } = this.ownRow.member;
    const candidates = this.all()
      .filter(({ bucket, unconfirmed }) => buckets.has(bucket) && !unconfirmed)
      .map(({ row }) => row);
    if (buckets.has(bucketOf(incarnation))) candidates.push(this.ownRow);
    const ordered = candidates
      .filter(({ member }) => member.incarnation > after)
      .sort((a, b) => (a.member.incarnation < b.member.incarnation ? -1 : 1));
    const rows: WireRow[] = [];
    let bytes = 0;
    for (const row of ordered) {
      const wire = encodeRow(row);
      bytes += messageBytes(wire);
      if (bytes > budgetBytes || rows.length >= limit) return { rows, more: true };
      rows.push(wire);
    }
    return { rows, more: false };
  }

  private declareDead(incarnation: string, unconfirmed: boolean): boolean {
    const known = this.known.get(incarnation);
    if (known === undefined || known.dead) return false;
    known.setState(MemberState.Dead, unconfirmed);
    if (!unconfirmed) this.events.spread(incarnation);
    return true;
  }

  private refute(row: MemberRow): boolean {
    if (row.state === MemberState.Alive || row.counter < this.ownRow.counter) return false;
    this.ownRow = { ...this.ownRow, counter: row.counter + 1 };
    this.events.spread(this.ownRow.member.incarnation);
    return true;
  }

  /** Declares the member of the row dead: this process listens at its address now, so that process has ended. */
  private recordPredecessorDead(row: MemberRow): boolean {
    const known = this.known.get(row.member.incarnation);
    if (row.state === MemberState.Dead || (known !== undefined && known.row.counter >= row.counter)) return false;
    this.insert({ ...row, state: MemberState.Dead });
    this.events.spread(row.member.incarnation);
    return true;
  }

  private mergeKnown(known: KnownMember, row: MemberRow, direct: boolean): boolean {
    const current = known.row;
    known.updateFacts(row);
    const isNewer = row.counter > current.counter
      || (row.counter === current.counter && STATE_PRECEDENCE[row.state] > STATE_PRECEDENCE[current.state]);
    if (!isNewer) return false;
    // A death declared by others becomes a suspicion while the member is alive here, so that the member can refute it.
    const isUnsuspectedDeath = row.state === MemberState.Dead
      && current.state === MemberState.Alive && !row.member.leaving;
    const hasReturned = current.state === MemberState.Dead && row.state !== MemberState.Dead;
    if (hasReturned && !this.replaceConflicting(row, direct)) return false;
    known.adoptState(row, isUnsuspectedDeath ? MemberState.Suspect : row.state);
    this.events.spread(row.member.incarnation);
    if (hasReturned) this.events.added(row.member.incarnation);
    return true;
  }

  private mergeUnknown(row: MemberRow, direct: boolean, repair: boolean): boolean {
    if (row.state === MemberState.Dead) {
      this.insert(row);
      return false;
    }
    if (!this.replaceConflicting(row, direct)) return false;
    this.insert(row);
    if (!repair) this.events.spread(row.member.incarnation);
    this.events.added(row.member.incarnation);
    return true;
  }

  /** Declares members with the same address or id dead, as the new member replaces them; false if one may be newer. */
  private replaceConflicting(row: MemberRow, direct: boolean): boolean {
    const { incarnation, address, id } = row.member;
    for (const [other, { dead, row: { member } }] of this.known) {
      const isConflicting = other !== incarnation && !dead && (member.address === address || member.id === id);
      if (!isConflicting) continue;
      // The hosts' wall clocks differ, so a later start is only a hint; which process answers at the address decides.
      if (!direct && startTimeOf(incarnation) <= startTimeOf(other)) {
        this.events.addressDisputed(address);
        return false;
      }
      this.declareReplaced(other);
    }
    return true;
  }

  private insert(row: MemberRow): void {
    this.known.set(row.member.incarnation, new KnownMember(row, this.clock));
  }
}
