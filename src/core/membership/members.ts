import type { Disposable } from '../interfaces/index.js';

/** One entry of the deployment, as the membership describes it to the other entries. */
export interface Member {
  readonly id: string;
  /** Unique for each start of a process, so that a replaced host at the same address counts as a new member. */
  readonly incarnation: string;
  /** IP address and port for messages between entries. */
  readonly address: string;
  /** IP address and port for callers. */
  readonly callerAddress: string;
  readonly failureDomain: string;
  readonly leaving: boolean;
  /** Revision of the fleet file that is in force at this member. */
  readonly revision: number;
  /** Used share of the member's capacity; 0 when idle. */
  readonly load: number;
}

/** Fields that an entry reports of itself and may change while it runs. */
export type LocalFacts = Pick<Member, 'leaving' | 'revision' | 'load'>;

/** Entries that this process considers alive. */
export interface Members {
  /** This process. */
  self(): Member;
  /** Live members except this process; leaving ones are included. */
  live(): readonly Member[];
  /** Changes the reported fields of this process; the next membership messages carry them to the other members. */
  update(facts: Partial<LocalFacts>): void;
  /** Calls `listener` after each change of the members. */
  onChange(listener: () => void): Disposable;
}
