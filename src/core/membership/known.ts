import { createHash } from 'node:crypto';
import type { Clock } from '../edges/index.js';
import { MemberState } from './rows.js';
import type { MemberRow } from './rows.js';

/** Buckets over which two members compare what they know. */
export const BUCKETS = 64;

const HASH_RANGE = 2 ** 32;

function hashOf(text: string): number {
  return createHash('md5').update(text).digest().readUInt32LE();
}

/** Bucket of a member. */
export function bucketOf(incarnation: string): number {
  return hashOf(incarnation) % BUCKETS;
}

/** Hash of what an exchange repairs: identity, counter and leaving flag. */
export function identityHash({ member, counter }: MemberRow): number {
  return hashOf(`${member.incarnation}/${counter}/${member.leaving}`);
}

/** Order-independent sum of two hashes. */
export function addHashes(a: number, b: number): number {
  return (a + b) % HASH_RANGE;
}

/** Member as one process knows it, with the local times of the last changes. */
export class KnownMember {
  public readonly bucket: number;

  private current: MemberRow;

  private cachedHash: number;

  private stateAt: number;

  private factsAt: number;

  private privately = false;

  public constructor(row: MemberRow, private readonly clock: Clock) {
    this.current = row;
    this.bucket = bucketOf(row.member.incarnation);
    this.cachedHash = identityHash(row);
    this.stateAt = clock.monotonic();
    this.factsAt = clock.monotonic();
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

  /** True while the state rests on an observation that this process itself doubts; it is not passed on then. */
  public get doubted(): boolean {
    return this.privately;
  }

  /** Time in ms since the state was set or the suspicion restarted. */
  public stateAgeMs(): number {
    return this.clock.monotonic() - this.stateAt;
  }

  /** Time in ms since load or revision last changed. */
  public factsAgeMs(): number {
    return this.clock.monotonic() - this.factsAt;
  }

  public setState(state: MemberState, doubted = false): void {
    this.privately = doubted;
    if (this.current.state !== state) this.stateAt = this.clock.monotonic();
    this.current = { ...this.current, state };
  }

  /** Takes state, counter and leaving flag of a newer row. */
  public adopt(row: MemberRow, state: MemberState): void {
    const member = { ...this.current.member, leaving: row.member.leaving };
    this.current = { ...this.current, counter: row.counter, member };
    this.cachedHash = identityHash(this.current);
    this.setState(state);
  }

  /** Takes load and revision of a row with a higher beat. */
  public learn(row: MemberRow): void {
    if (row.beat <= this.current.beat) return;
    const { load, revision } = row.member;
    this.current = { ...this.current, beat: row.beat, member: { ...this.current.member, load, revision } };
    this.factsAt = this.clock.monotonic();
  }

  /** Starts the time of the present state again. */
  public restart(): void {
    this.stateAt = this.clock.monotonic();
  }
}
