import type { Clock } from '../edges/index.js';
import {
  addHashes, bucketOf, BUCKETS, identityHash, KnownMember,
} from './known.js';
import type { LocalFacts, Member } from './members.js';
import {
  encodeRow, MemberState, messageBytes, startOf,
} from './rows.js';
import type { MemberRow, WireRow } from './rows.js';

/** Time from suspicion to the verdict that a member is dead. */
export const SUSPICION_MS = 3_000;

/** Time for which dead members are remembered: contact is tried again, and old gossip cannot revive them. */
const DEAD_KEPT_MS = 2 * 3_600_000;

const DEAD_MAX = 4_096;

const RANK = { [MemberState.Alive]: 0, [MemberState.Suspect]: 1, [MemberState.Dead]: 2 };

/** What the roster tells its owner. */
export interface RosterEvents {
  /** The row has to be passed on. */
  spread(incarnation: string): void;
  /** A live member was added. */
  added(incarnation: string): void;
  /** Two processes claim this address; the one that answers there is the right one. */
  verify(address: string): void;
}

/** All members that one process knows of, with the rules that order what is said of them. */
export class Roster {
  private readonly known = new Map<string, KnownMember>();

  private own: MemberRow;

  public constructor(self: Member, private readonly clock: Clock, private readonly events: RosterEvents) {
    this.own = {
      member: self, state: MemberState.Alive, counter: 0, beat: 0,
    };
  }

  public self(): MemberRow {
    return this.own;
  }

  public get(incarnation: string): MemberRow | null {
    if (incarnation === this.own.member.incarnation) return this.own;
    return this.known.get(incarnation)?.row ?? null;
  }

  /** Everything known of the other members, dead ones included. */
  public all(): KnownMember[] {
    return [...this.known.values()];
  }

  /** Members that are not dead, suspected ones included, without this process. */
  public live(): MemberRow[] {
    return this.all().filter(({ dead }) => !dead).map(({ row }) => row);
  }

  /** Changes what this process says of itself; only a change of the leaving flag is passed on at once. */
  public update(facts: Partial<LocalFacts>): void {
    const member = { ...this.own.member, ...facts };
    const leavingChanged = member.leaving !== this.own.member.leaving;
    const counter = this.own.counter + (leavingChanged ? 1 : 0);
    this.own = {
      ...this.own, member, counter, beat: this.own.beat + 1,
    };
    if (leavingChanged) this.events.spread(member.incarnation);
  }

  /** Row in which this process announces its own end. */
  public farewell(): MemberRow {
    return { ...this.own, state: MemberState.Dead, counter: this.own.counter + 1 };
  }

  /**
   * Merges a row. `direct` means that the process itself answered at its address, which proves that every other
   * process at this address has ended. `repair` means that the row comes from an exchange: unknown members are not
   * passed on then, because a newcomer would repeat the whole roster to those who sent it. Returns whether anything
   * changed.
   */
  public merge(row: MemberRow, { direct = false, repair = false } = {}): boolean {
    const { incarnation, address } = row.member;
    if (incarnation === this.own.member.incarnation) return this.refute(row);
    if (address === this.own.member.address) return this.bury(row);
    const known = this.known.get(incarnation);
    if (known !== undefined) return this.mergeKnown(known, row, direct);
    return this.mergeUnknown(row, direct, repair);
  }

  /** Suspects a live member; `spread` is false while this process doubts its own observation. */
  public suspect(incarnation: string, spread: boolean): boolean {
    const known = this.known.get(incarnation);
    if (known?.row.state !== MemberState.Alive) return false;
    known.setState(MemberState.Suspect, !spread);
    if (spread) this.events.spread(incarnation);
    return true;
  }

  /** Declares a member dead because another process answered at its address. */
  public replace(incarnation: string): boolean {
    return this.declareDead(incarnation, false);
  }

  /** Declares members dead whose suspicion has run out, and forgets those that have been dead for long. */
  public expire(): boolean {
    let changed = false;
    let dead = 0;
    for (const [incarnation, known] of this.known) {
      if (known.row.state === MemberState.Suspect && known.stateAgeMs() >= SUSPICION_MS) {
        changed = this.declareDead(incarnation, known.doubted) || changed;
      } else if (known.dead) {
        dead += 1;
        if (known.stateAgeMs() >= DEAD_KEPT_MS || dead > DEAD_MAX) this.known.delete(incarnation);
      }
    }
    return changed;
  }

  /** Starts all suspicions again; returns the suspected members. */
  public restartSuspicions(): string[] {
    const suspects = this.all().filter(({ row }) => row.state === MemberState.Suspect);
    for (const known of suspects) known.restart();
    return suspects.map(({ row }) => row.member.incarnation);
  }

  /** Hash of each bucket over identity, counter and leaving flag of the live members, this process included. */
  public bucketHashes(): string[] {
    const sums = new Array<number>(BUCKETS).fill(0);
    const own = bucketOf(this.own.member.incarnation);
    sums[own] = identityHash(this.own);
    for (const { dead, bucket, hash } of this.known.values()) {
      if (!dead) sums[bucket] = addHashes(sums[bucket]!, hash);
    }
    return sums.map((sum) => sum.toString(36));
  }

  /** Rows of some buckets, dead ones included, in order after `after`, of at most `budgetBytes` together. */
  public page(
    buckets: ReadonlySet<number>,
    after: string,
    budgetBytes: number,
    limit: number,
  ): { readonly rows: WireRow[]; readonly more: boolean } {
    const { incarnation } = this.own.member;
    const candidates = this.all()
      .filter(({ bucket, doubted }) => buckets.has(bucket) && !doubted)
      .map(({ row }) => row);
    if (buckets.has(bucketOf(incarnation))) candidates.push(this.own);
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

  private declareDead(incarnation: string, doubted: boolean): boolean {
    const known = this.known.get(incarnation);
    if (known === undefined || known.dead) return false;
    known.setState(MemberState.Dead, doubted);
    if (!doubted) this.events.spread(incarnation);
    return true;
  }

  private refute(row: MemberRow): boolean {
    if (row.state === MemberState.Alive || row.counter < this.own.counter) return false;
    this.own = { ...this.own, counter: row.counter + 1 };
    this.events.spread(this.own.member.incarnation);
    return true;
  }

  /** This process listens at the address of the row, so the process that the row describes has ended. */
  private bury(row: MemberRow): boolean {
    const known = this.known.get(row.member.incarnation);
    if (row.state === MemberState.Dead || (known !== undefined && known.row.counter >= row.counter)) return false;
    this.insert({ ...row, state: MemberState.Dead });
    this.events.spread(row.member.incarnation);
    return true;
  }

  private mergeKnown(known: KnownMember, row: MemberRow, direct: boolean): boolean {
    const current = known.row;
    known.learn(row);
    const newer = row.counter > current.counter
      || (row.counter === current.counter && RANK[row.state] > RANK[current.state]);
    if (!newer) return false;
    // A verdict of others about a member that is healthy here becomes a suspicion, so that the member can refute it.
    const early = row.state === MemberState.Dead && current.state === MemberState.Alive && !row.member.leaving;
    const returned = current.state === MemberState.Dead && row.state !== MemberState.Dead;
    if (returned && !this.displace(row, direct)) return false;
    known.adopt(row, early ? MemberState.Suspect : row.state);
    this.events.spread(row.member.incarnation);
    if (returned) this.events.added(row.member.incarnation);
    return true;
  }

  private mergeUnknown(row: MemberRow, direct: boolean, repair: boolean): boolean {
    if (row.state === MemberState.Dead) {
      this.insert(row);
      return false;
    }
    if (!this.displace(row, direct)) return false;
    this.insert(row);
    if (!repair) this.events.spread(row.member.incarnation);
    this.events.added(row.member.incarnation);
    return true;
  }

  /** Ends the members with the same address or id that a newcomer replaces; false if one of them may be newer. */
  private displace(row: MemberRow, direct: boolean): boolean {
    const { incarnation, address, id } = row.member;
    for (const [other, { dead, row: { member } }] of this.known) {
      const rival = other !== incarnation && !dead && (member.address === address || member.id === id);
      if (!rival) continue;
      // Wall clocks of hosts differ, so a later start is a hint only and the address has the last word.
      if (!direct && startOf(incarnation) <= startOf(other)) {
        this.events.verify(address);
        return false;
      }
      this.replace(other);
    }
    return true;
  }

  private insert(row: MemberRow): void {
    this.known.set(row.member.incarnation, new KnownMember(row, this.clock));
  }
}
