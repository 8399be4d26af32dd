import { setMaxListeners } from 'node:events';
import { KeyValueErrorCode } from '../../src/core/interfaces/index.js';
import type {
  CallOptions, KeyValueEntry, PeerClient, PeerHandler, PeerServer, WatchEvent,
} from '../../src/core/interfaces/index.js';
import type { Member } from '../../src/core/membership/index.js';
import { fail, ok } from '../../src/core/result.js';
import { sleep, withTimeout } from '../../src/core/time.js';
import { SystemRandom } from '../../src/adapters/system.js';
import { Metrics } from '../../src/daemon/metrics.js';
import type { SimulatedClock } from '../../src/emulator/clock.js';
import { StoreContact } from '../../src/gateway/contact.js';
import type { KeySource } from '../../src/gateway/follower.js';
import { Records } from '../../src/gateway/records.js';
import { RelayedSource, selectRelays } from '../../src/gateway/relays.js';
import { silentLog } from './loopback.js';

const PREFIX = 'servers/';

/** One-way delay in ms between two processes. */
const DELAY_MS = 2;

/** Store whose keys change and whose calls are counted. */
export class CountedStore {
  public calls = 0;

  private revision = 0;

  private readonly entries = new Map<string, KeyValueEntry>();

  private readonly events: WatchEvent[] = [];

  private readonly waiting = new Set<() => void>();

  public constructor(private readonly clock: SimulatedClock) {}

  public put(id: string, characters = 0): void {
    this.revision += 1;
    const value = `${id}@${this.revision}`.padEnd(characters);
    const entry = { key: `${PREFIX}${id}`, value, version: this.revision };
    this.entries.set(entry.key, entry);
    this.add({ type: 'put', entry });
  }

  public remove(id: string): void {
    this.revision += 1;
    this.entries.delete(`${PREFIX}${id}`);
    this.add({ type: 'delete', key: `${PREFIX}${id}`, version: this.revision });
  }

  /** The store as one gateway reaches it; `isCut` says whether its calls get no answer. */
  public sourceFor(isCut: () => boolean): KeySource {
    const answer = async <T>(read: () => Promise<T>, { timeoutMs }: CallOptions) => {
      this.calls += 1;
      const reached = isCut() ? null : await withTimeout(this.clock, timeoutMs, read());
      if (reached !== null && !isCut()) return ok(reached);
      await sleep(this.clock, timeoutMs);
      return fail({ code: KeyValueErrorCode.Unavailable, message: 'no answer' });
    };
    return {
      snapshot: (_prefix, opts) => answer(async () => {
        await sleep(this.clock, 2 * DELAY_MS);
        return { entries: [...this.entries.values()], revision: this.revision };
      }, opts),
      changes: (_prefix, after, waitMs, opts) => answer(async () => {
        await sleep(this.clock, DELAY_MS);
        if (this.revision <= after) await this.nextChange(waitMs);
        const events = this.events.filter((event) => (event.type === 'put' ? event.entry : event).version > after);
        const { revision } = this;
        await sleep(this.clock, DELAY_MS);
        return { events, revision };
      }, opts),
    };
  }

  private add(event: WatchEvent): void {
    this.events.push(event);
    for (const wake of [...this.waiting]) wake();
  }

  private async nextChange(waitMs: number): Promise<void> {
    const changed = new AbortController();
    const wake = (): void => changed.abort();
    this.waiting.add(wake);
    await sleep(this.clock, waitMs, changed.signal);
    this.waiting.delete(wake);
  }
}

/** State of a gateway that a test disturbs. */
export interface FollowingGateway {
  readonly member: Member;
  readonly records: Records;
  readonly keys: Map<string, string>;
  /** Whether its calls to the store get no answer. */
  cutFromStore: boolean;
  /** Whether it answers no other gateway, because it was killed or is frozen. */
  state: 'running' | 'killed' | 'frozen';
}

/** Gateways that follow one store, on a simulated clock; all of them know all members at any time. */
export class FollowingGateways {
  public readonly gateways: FollowingGateway[] = [];

  /** Size of all answers between gateways. */
  public relayedCharacters = 0;

  private readonly stop = new AbortController();

  public constructor(
    private readonly clock: SimulatedClock,
    private readonly store: CountedStore,
    count: number,
    domains: readonly string[],
  ) {
    setMaxListeners(10 * count, this.stop.signal);
    for (let index = 0; index < count; index += 1) this.start(`g${index}`, domains[index % domains.length]!);
  }

  /** Gateways that follow the store in a failure domain. */
  public relays(domain: string): readonly FollowingGateway[] {
    const ids = selectRelays(this.gateways.map(({ member }) => member), domain);
    return this.gateways.filter(({ member }) => ids.includes(member.id));
  }

  public dispose(): void {
    this.stop.abort();
  }

  private start(id: string, failureDomain: string): void {
    const { clock } = this;
    const handlers = new Map<string, PeerHandler>();
    const member: Member = {
      id, incarnation: id, address: id, callerAddress: id, failureDomain, leaving: false, revision: 1, load: 0,
    };
    const keys = new Map<string, string>();
    const server: PeerServer = {
      register: (method, handler) => {
        handlers.set(method, handler);
        return { dispose: () => handlers.delete(method) };
      },
    };
    const client: PeerClient = {
      call: (address, method, params, { timeoutMs }) => this.call(address, method, params, timeoutMs),
    };
    const members = {
      self: () => member,
      live: () => this.gateways.map((other) => other.member).filter((other) => other !== member),
      isSuspect: () => false,
      update: () => {},
      onChange: () => ({ dispose: () => {} }),
    };
    const deps = {
      clock, random: new SystemRandom(), log: silentLog, meter: new Metrics(), client, server, members,
    };
    const gateway: FollowingGateway & { handlers: typeof handlers } = {
      member,
      keys,
      handlers,
      cutFromStore: false,
      state: 'running',
      records: new Records({
        ...deps,
        source: new RelayedSource({ ...deps, store: this.store.sourceFor(() => gateway.cutFromStore) }),
        contact: new StoreContact(clock),
      }, {
        replaced: (entries) => {
          keys.clear();
          for (const { key, value } of entries) keys.set(key, value);
        },
        put: ({ key, value }) => keys.set(key, value),
        removed: (key) => keys.delete(key),
      }, {
        prefix: PREFIX, waitMs: 1_400, periodMs: 350, seeds: [],
      }),
    };
    this.gateways.push(gateway);
    void gateway.records.run(this.stop.signal);
  }

  private async call(address: string, method: string, params: unknown, timeoutMs: number) {
    const gateway = this.gateways.find(({ member }) => member.address === address);
    const handlers = (gateway as unknown as { handlers: Map<string, PeerHandler> } | undefined)?.handlers;
    const handler = handlers?.get(method);
    await sleep(this.clock, DELAY_MS);
    if (gateway === undefined || handler === undefined || gateway.state === 'killed') {
      return fail({ code: 'unreachable' as const, message: 'refused' });
    }
    const answer = gateway.state === 'frozen' ? null : await withTimeout(this.clock, timeoutMs, handler(params));
    if (answer?.success === true) this.relayedCharacters += JSON.stringify(answer.data).length;
    if (answer !== null && gateway.state === 'running') return answer;
    await sleep(this.clock, timeoutMs);
    return fail({ code: 'timeout' as const, message: 'no answer' });
  }
}
