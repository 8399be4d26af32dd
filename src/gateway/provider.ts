/** Identity and fencing token of the one process that performs a duty now. */
export interface DutyFence {
  readonly holder: string;
  readonly token: number;
}

/** Counts of the calls that began to run in one window of the wall clock, by workspace. */
export interface UsageReport {
  /** Number of the window since the start of 1970. */
  readonly window: number;
  readonly counts: Readonly<Record<string, number>>;
}

/** Number of backend servers that a service is to have in one failure domain. */
export interface CapacityOrder {
  readonly service: string;
  readonly failureDomain: string;
  readonly count: number;
  /** Whether the order is for servers that cost less and may be taken back. */
  readonly reclaimable: boolean;
}

/** What is known of a call to the provider. */
export enum DutyOutcome {
  Accepted = 'accepted',
  /** No such servers are to be had there now. */
  Exhausted = 'exhausted',
  /** The call was not carried out. */
  Refused = 'refused',
  /** The call may have been carried out, or may be later. */
  Unknown = 'unknown',
}

/** Options of a call to the provider. */
export interface DutyOptions {
  readonly timeoutMs: number;
  /** Whether the caller still holds the duty; asked in the turn in which the call is written. */
  readonly mayStillSend: () => boolean;
}

/** Interface of whoever provides the backend servers; each call is the duty of one process at a time. */
export interface Provider {
  reportUsage(fence: DutyFence, report: UsageReport, opts: DutyOptions): Promise<DutyOutcome>;
  orderServers(fence: DutyFence, order: CapacityOrder, opts: DutyOptions): Promise<DutyOutcome>;
}
