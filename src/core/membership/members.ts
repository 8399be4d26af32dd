import type { Disposable } from '../edges/index.js';

/** One entry as the others know it. */
export interface Member {
  readonly id: string;
  /** Differs for each start of a process, so that a replaced host at the same address is a new member. */
  readonly incarnation: string;
  /** IP address and port for messages between entries. */
  readonly address: string;
  /** IP address and port for callers. */
  readonly callerAddress: string;
  readonly failureDomain: string;
  readonly leaving: boolean;
  /** Revision of the fleet file that is in force at this member. */
  readonly revision: number;
  /** Share of its capacity that the member uses, from 0. */
  readonly load: number;
}

/** What an entry says of itself and may change while it runs. */
export type LocalFacts = Pick<Member, 'leaving' | 'revision' | 'load'>;

/** Entries that this process believes to be alive. */
export interface Members {
  self(): Member;
  /** Live members without this process, leaving ones included. */
  live(): readonly Member[];
  /** Changes what this process says of itself; the others learn it with the next messages. */
  update(facts: Partial<LocalFacts>): void;
  onChange(listener: () => void): Disposable;
}
