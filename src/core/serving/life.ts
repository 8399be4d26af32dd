import { createHash } from 'node:crypto';
import { HostState } from '../edges/index.js';

/** Where a leaving signal came from. */
export enum LeavingSource {
  HostList = 'host_list',
  FleetFile = 'fleet_file',
  /** The backend server's own answer. */
  Server = 'server',
  Peers = 'peers',
}

/** Earlier incarnations that are remembered, so that late news of them is recognised as stale. */
const PAST_LIVES_MAX = 8;

const HOST_NOTE = 'host';
const SERVER_NOTE = 'server';

/** Short form of text of any length, so that a note stays small. */
function digest(text: string): string {
  return createHash('sha256').update(text).digest('base64url').slice(0, 12);
}

/** Leaving signals about one backend server, and the life of the server that they speak of. */
export class ServerLife {
  private readonly signals = new Map<LeavingSource, number>();

  private readonly past: string[] = [];

  /** Incarnations from before the last time that the host list took back its word. */
  private ended: readonly string[] = [];

  private incarnation: string | null = null;

  /** True if the server was restarted or explicitly changed after the host list said that it leaves. */
  private renewed = false;

  /** `spec` is what the fleet file says of the server; a server with another one starts a new life. */
  public constructor(public readonly host: string, public readonly spec: string) {}

  public get leaving(): boolean {
    return this.signals.size > 0;
  }

  /** First signal that still counts, with its monotonic time in ms. */
  public get first(): { readonly source: LeavingSource; readonly since: number } | null {
    const [first] = this.signals;
    return first === undefined ? null : { source: first[0], since: first[1] };
  }

  public has(source: LeavingSource): boolean {
    return this.signals.has(source);
  }

  /** Note that tells other entries of a signal from `source`. */
  public describe(source: LeavingSource): string {
    const incarnation = this.incarnation === null ? '' : digest(this.incarnation);
    return `${source === LeavingSource.HostList ? HOST_NOTE : SERVER_NOTE}|${digest(this.spec)}|${incarnation}`;
  }

  /** Takes a note of another entry; false if it is stale or tells nothing new. */
  public takeNote(note: string, time: number): boolean {
    const [kind, spec, incarnation] = note.split('|');
    if (spec !== digest(this.spec)) return false;
    // The word of the host list holds for the host, so it outlives a restart of the server.
    const source = kind === HOST_NOTE ? LeavingSource.HostList : LeavingSource.Peers;
    const past = source === LeavingSource.HostList ? this.ended : this.past;
    const stale = past.some((earlier) => digest(earlier) === incarnation);
    if (stale || this.signals.has(source)) return false;
    this.signal(source, time);
    return true;
  }

  public signal(source: LeavingSource, time: number): void {
    if (this.signals.has(source)) return;
    this.signals.set(source, time);
    if (source === LeavingSource.HostList) this.renewed = false;
  }

  /** Takes the incarnation that the server reports; a new one ends what was said of the earlier one. */
  public observe(incarnation: string): void {
    if (incarnation === this.incarnation || this.past.includes(incarnation)) return;
    if (this.incarnation !== null) {
      this.past.push(this.incarnation);
      if (this.past.length > PAST_LIVES_MAX) this.past.shift();
      this.renew();
    }
    this.incarnation = incarnation;
  }

  /** Ends the signals of an earlier life. The host list's own signal holds until the list itself takes it back. */
  public renew(): void {
    this.signals.delete(LeavingSource.Server);
    this.signals.delete(LeavingSource.Peers);
    this.renewed = true;
  }

  /** Takes the state in the host list. It lags, so `live` counts only for a server that was renewed since. */
  public list(state: HostState, time: number): void {
    if (state === HostState.Leaving) this.signal(LeavingSource.HostList, time);
    else if (this.renewed && this.signals.delete(LeavingSource.HostList)) this.ended = [...this.past];
  }

  /** Takes over what the host list says of an earlier life on the same host. */
  public inherit(earlier: ServerLife): void {
    const since = earlier.signals.get(LeavingSource.HostList);
    if (earlier.host !== this.host || since === undefined) return;
    this.signal(LeavingSource.HostList, since);
    this.renewed = true;
  }
}
