import { createHash } from 'node:crypto';
import { HostState } from '../interfaces/index.js';

/** Source of a signal that a backend server is leaving. */
export enum LeavingSource {
  HostList = 'host_list',
  FleetFile = 'fleet_file',
  /** The backend server's own answer. */
  Server = 'server',
  /** Announcement by another entry. */
  Peers = 'peers',
}

/** Number of earlier incarnations that are remembered, to recognise late announcements about them as stale. */
const MAX_PAST_INCARNATIONS = 8;

/** Kinds of announcements: the host list or the server itself signalled the leaving. */
const HOST_KIND = 'host';
const SERVER_KIND = 'server';

/** Shortens a text of any length to a 12-character hash, because announcements must be small. */
function digest(text: string): string {
  return createHash('sha256').update(text).digest('base64url').slice(0, 12);
}

/** Leaving signals about one backend server, and the incarnation of the server that they are about. */
export class ServerLeavingState {
  private readonly signals = new Map<LeavingSource, number>();

  private readonly pastIncarnations: string[] = [];

  /** Incarnations that preceded the last time at which the host list withdrew its leaving signal. */
  private retractedIncarnations: readonly string[] = [];

  private incarnation: string | null = null;

  /** True if the server was restarted or explicitly changed after the last leaving signal of the host list. */
  private hasChangedSinceListed = false;

  /** `specKey` identifies the server's specification in the fleet file. */
  public constructor(public readonly host: string, public readonly specKey: string) {}

  /** True if at least one signal counts. */
  public get isLeaving(): boolean {
    return this.signals.size > 0;
  }

  /** First signal that still counts, with its monotonic time in ms, or `null` if there is none. */
  public get firstSignal(): { readonly source: LeavingSource; readonly since: number } | null {
    const [first] = this.signals;
    return first === undefined ? null : { source: first[0], since: first[1] };
  }

  /** Tests whether a signal from a source counts. */
  public hasSignal(source: LeavingSource): boolean {
    return this.signals.has(source);
  }

  /** Formats the announcement that informs other entries of a signal from `source`. */
  public formatAnnouncement(source: LeavingSource): string {
    const incarnation = this.incarnation === null ? '' : digest(this.incarnation);
    return `${source === LeavingSource.HostList ? HOST_KIND : SERVER_KIND}|${digest(this.specKey)}|${incarnation}`;
  }

  /** Applies an announcement of another entry; returns false if it is stale or contains nothing new. */
  public receiveAnnouncement(announcement: string, time: number): boolean {
    const [kind, spec, incarnation] = announcement.split('|');
    if (spec !== digest(this.specKey)) return false;
    // A signal of the host list is about the host, so it remains valid after a restart of the server.
    const source = kind === HOST_KIND ? LeavingSource.HostList : LeavingSource.Peers;
    const incarnations = source === LeavingSource.HostList ? this.retractedIncarnations : this.pastIncarnations;
    const isStale = incarnations.some((earlier) => digest(earlier) === incarnation);
    if (isStale || this.signals.has(source)) return false;
    this.addSignal(source, time);
    return true;
  }

  /** Adds a signal unless there is one from the same source; `time` is monotonic, in ms. */
  public addSignal(source: LeavingSource, time: number): void {
    if (this.signals.has(source)) return;
    this.signals.set(source, time);
    if (source === LeavingSource.HostList) this.hasChangedSinceListed = false;
  }

  /** Applies the incarnation that the server reports; a new one ends the signals about the earlier one. */
  public observeIncarnation(incarnation: string): void {
    if (incarnation === this.incarnation || this.pastIncarnations.includes(incarnation)) return;
    if (this.incarnation !== null) {
      this.pastIncarnations.push(this.incarnation);
      if (this.pastIncarnations.length > MAX_PAST_INCARNATIONS) this.pastIncarnations.shift();
      this.startIncarnation();
    }
    this.incarnation = incarnation;
  }

  /** Ends the signals about the earlier incarnation. That of the host list counts until the list withdraws it. */
  public startIncarnation(): void {
    this.signals.delete(LeavingSource.Server);
    this.signals.delete(LeavingSource.Peers);
    this.hasChangedSinceListed = true;
  }

  /** Applies the state in the host list. The list lags, so `live` counts only if the server has changed meanwhile. */
  public observeHostState(state: HostState, time: number): void {
    if (state === HostState.Leaving) this.addSignal(LeavingSource.HostList, time);
    else if (
      this.hasChangedSinceListed && this.signals.delete(LeavingSource.HostList)
    ) this.retractedIncarnations = [...this.pastIncarnations];
  }

  /** Copies the signal of the host list from the state before a change in the fleet file, if the host is the same. */
  public inheritHostListSignal(earlier: ServerLeavingState): void {
    const since = earlier.signals.get(LeavingSource.HostList);
    if (earlier.host !== this.host || since === undefined) return;
    this.addSignal(LeavingSource.HostList, since);
    this.hasChangedSinceListed = true;
  }
}
