import { createHash } from 'node:crypto';
import type { Clock } from '../interfaces/index.js';
import { MemberState } from './rows.js';
import type { MemberRow } from './rows.js';

/** Number of buckets whose hashes two members compare in an exchange. */
export const BUCKETS = 64;

const HASH_RANGE = 2 ** 32;

function hashOf(text: string): number {
  return createHash('md5').update(text).digest().readUInt32LE();
}

/** Bucket of a member. */
export function bucketOf(incarnation: string): number {
  return hashOf(incarnation) % BUCKETS;
}

/** Hash over the fields that an exchange repairs: incarnation, counter and leaving flag. */
export function identityHash({ member, counter }: MemberRow): number {
  return hashOf(`${member.incarnation}/${counter}/${member.leaving}`);
}

/** Sum of two hashes, which does not depend on their order. */
export function addHashes(a: number, b: number): number {
  return (a + b) % HASH_RANGE;
}

/** Another member's row as this process holds it, with the local times of its last changes. */
export class KnownMember {
  public readonly bucket: number;

  private current: MemberRow;

  private cachedHash: number;

  private stateChangedAt: number;

  private factsChangedAt: number;

  private isUnconfirmed = false;

  public constructor(row: MemberRow, private readonly clock: Clock) {
    this.current = row;
    this.bucket = bucketOf(row.member.incarnation);
    this.cachedHash = identityHash(row);
    this.stateChangedAt = clock.monotonic();
    this.factsChangedAt = clock.monotonic();
  }

  public get row(): MemberRow {
    return this.current;
  }

  public get hash(): number {
    return this.cachedHash;
  }

  public get dead(): boolean {
    return this.current.state === MemberState.Dead;
  }

  /** True while the state rests only on a failed probe for which no helper answered either; it is not gossiped then. */
  public get unconfirmed(): boolean {
    return this.isUnconfirmed;
  }

  /** Time in ms since the state was set or the suspicion restarted. */
  public stateAgeMs(): number {
    return this.clock.monotonic() - this.stateChangedAt;
  }

  /** Time in ms since load or revision last changed. */
  public factsAgeMs(): number {
    return this.clock.monotonic() - this.factsChangedAt;
  }

  /** Sets the state; `unconfirmed` as in {@link unconfirmed}. */
  public setState(state: MemberState, unconfirmed = false): void {
    this.isUnconfirmed = unconfirmed;
    if (this.current.state !== state) this.stateChangedAt = this.clock.monotonic();
    this.current = { ...this.current, state };
  }

  /** Sets `state`, and the counter and leaving flag of a newer row. */
  public adoptState(row: MemberRow, state: MemberState): void {
    const member = { ...this.current.member, leaving: row.member.leaving };
    this.current = { ...this.current, counter: row.counter, member };
    this.cachedHash = identityHash(this.current);
    this.setState(state);
  }

  /** Takes over load and revision of a row with a higher `factsVersion`. */
  public updateFacts(row: MemberRow): void {
    if (row.factsVersion <= this.current.factsVersion) return;
    const { load, revision } = row.member;
    this.current = {
      ...this.current, factsVersion: row.factsVersion, member: { ...this.current.member, load, revision },
    };
    this.factsChangedAt = this.clock.monotonic();
  }

  /** Restarts the age of the current state. */
  public restartStateTimer(): void {
    this.stateChangedAt = this.clock.monotonic();
  }
}
