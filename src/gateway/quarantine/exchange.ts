import { z } from 'zod';
import { DisposableStore } from '../../core/disposables.js';
import type {
  Clock, Log, Meter, PeerClient, PeerServer, Random,
} from '../../core/interfaces/index.js';
import type { Member, Members } from '../../core/membership/index.js';
import { hashName } from '../../core/rendezvous.js';
import { fail, ok } from '../../core/result.js';
import { sleep } from '../../core/time.js';
import type { Datagrams } from '../occupancy.js';
import type { EndState, News, PartState } from './evidence.js';
import type { Quarantine } from './quarantine.js';
import {
  decodeNews, encodeNews, newsSchema, packDatagram, packNews, unpackDatagram,
} from './wire.js';
import type { QuarantineDatagram, WireNews } from './wire.js';

/**
 * Number of gateways that each one tells of news. All of them learn it in a few hops, and the number of messages grows
 * with the number of gateways only.
 */
const FANOUT = 4;

/** Time in ms over which news is collected before it is sent. */
const COLLECT_MS = 10;

/** Time in ms between two comparisons with another gateway, which repair what lost messages have left out. */
const COMPARE_PERIOD_MS = 500;

/** Time in ms between two attempts to learn what others know after a start or a pause. */
const SYNCHRONIZE_PERIOD_MS = 100;

/** Time in ms after which a gateway that reaches no other one serves what it knows itself. */
const SYNCHRONIZE_TIMEOUT_MS = 1_000;

/** Time in ms between two comparisons from which this process counts as paused. */
const PAUSE_MS = 1_500;

const CALL_TIMEOUT_MS = 300;

const METHOD = 'quarantine.exchange';

const exchangeSchema = z.object({
  digest: z.number(),
  news: newsSchema.nullable(),
  /** Whether the sender knows what the others know. */
  synchronized: z.boolean(),
});

/** Dependencies of {@link QuarantineExchange}. */
export interface QuarantineExchangeDependencies {
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Log;
  readonly meter: Meter;
  readonly client: PeerClient;
  readonly server: PeerServer;
  readonly members: Members;
  readonly datagrams: Datagrams;
  readonly quarantine: Quarantine;
}

/** Passes on what gateways know of prompt parts, at once to a few of them and by comparison with one at a time. */
export class QuarantineExchange {
  private ends = new Map<string, EndState>();

  private parts = new Map<string, PartState>();

  /** Whether what others know has been learned since the start or the last pause. */
  private isSynchronized = false;

  private startedAt: number;

  private synchronized: Promise<void>;

  private resolveSynchronized: () => void = () => {};

  /** `hasSeeds` tells whether other gateways may exist. */
  public constructor(
    private readonly deps: QuarantineExchangeDependencies,
    private readonly opts: { readonly hasSeeds: boolean },
  ) {
    this.startedAt = deps.clock.monotonic();
    this.synchronized = new Promise((resolve) => {
      this.resolveSynchronized = resolve;
    });
  }

  /** Resolves once this gateway knows what the others know, or after a bounded time if it reaches none. */
  public whenSynchronized(): Promise<void> {
    return this.isSynchronized ? Promise.resolve() : this.synchronized;
  }

  /** Exchanges news until `signal` aborts. */
  public async run(signal: AbortSignal): Promise<void> {
    const store = new DisposableStore();
    const { datagrams, server, quarantine } = this.deps;
    store.add(datagrams.onMessage((message) => this.receive(unpackDatagram(message))));
    store.add(server.register(METHOD, async (params) => this.answer(params)));
    store.add(quarantine.onNews((news) => this.collect(news)));
    try {
      await this.compareRepeatedly(signal);
    } finally {
      this.finishSynchronization();
      store.dispose();
    }
  }

  private async compareRepeatedly(signal: AbortSignal): Promise<void> {
    const { clock, random, quarantine } = this.deps;
    let comparedAt = clock.monotonic();
    while (!signal.aborted) {
      const waitMs = this.isSynchronized ? COMPARE_PERIOD_MS * (0.5 + random.float()) : SYNCHRONIZE_PERIOD_MS;
      await sleep(clock, waitMs, signal);
      if (signal.aborted) return;
      const now = clock.monotonic();
      if (now - comparedAt > PAUSE_MS) this.beginSynchronization(now);
      comparedAt = now;
      quarantine.expire();
      if (this.isSynchronized) this.sendDigest();
      else await this.synchronize();
    }
  }

  private beginSynchronization(now: number): void {
    if (!this.isSynchronized) return;
    this.isSynchronized = false;
    this.startedAt = now;
    this.synchronized = new Promise((resolve) => {
      this.resolveSynchronized = resolve;
    });
  }

  private finishSynchronization(): void {
    this.isSynchronized = true;
    this.resolveSynchronized();
  }

  private async synchronize(): Promise<void> {
    const peers = this.sample(FANOUT);
    const answers = await Promise.all(peers.map(({ address }) => this.exchangeWith(address)));
    const waitedMs = this.deps.clock.monotonic() - this.startedAt;
    const isAlone = peers.length === 0 && !this.opts.hasSeeds;
    if (answers.includes(true) || isAlone || waitedMs > SYNCHRONIZE_TIMEOUT_MS) this.finishSynchronization();
  }

  private collect({ ends, parts }: News): void {
    const isFirst = this.ends.size + this.parts.size === 0;
    for (const [incarnation, end] of ends) this.ends.set(incarnation, end);
    for (const [key, part] of parts) this.parts.set(key, part);
    if (isFirst) this.deps.clock.after(COLLECT_MS, () => this.sendNews());
  }

  private sendNews(): void {
    const news = encodeNews({ ends: this.ends, parts: this.parts }, this.deps.clock.monotonic());
    this.ends = new Map();
    this.parts = new Map();
    const messages = packNews(news);
    for (const member of this.sample(FANOUT)) for (const message of messages) this.send(member, message);
  }

  private sendDigest(): void {
    const { members } = this.deps;
    const message = packDatagram({ type: 'digest', from: members.self().id, digest: this.digest() });
    for (const member of this.sample(1)) this.send(member, message);
  }

  private send({ address }: Member, message: Uint8Array): void {
    this.deps.meter.count('quarantine_bytes_sent', message.length);
    this.deps.datagrams.send(address.split(':')[0] ?? '', message);
  }

  private receive(datagram: QuarantineDatagram | null): void {
    if (datagram === null) return;
    switch (datagram.type) {
      case 'news':
        this.learn(datagram.news);
        break;
      case 'digest': {
        const sender = this.deps.members.live().find(({ id }) => id === datagram.from);
        if (sender !== undefined && datagram.digest !== this.digest()) void this.exchangeWith(sender.address);
        break;
      }
      default: datagram satisfies never;
    }
  }

  /** Compares all that is known with another gateway; returns whether that one knows what the others know. */
  private async exchangeWith(address: string): Promise<boolean> {
    const theirs = await this.call(address, null);
    if (theirs === null) return false;
    if (theirs.news !== null) this.learn(theirs.news);
    if (theirs.digest !== this.digest()) await this.call(address, this.encodeAll());
    return theirs.synchronized;
  }

  private async call(address: string, news: WireNews | null): Promise<z.infer<typeof exchangeSchema> | null> {
    const { client, meter } = this.deps;
    const params = { digest: this.digest(), news, synchronized: this.isSynchronized };
    const answer = await client.call(address, METHOD, params, { timeoutMs: CALL_TIMEOUT_MS });
    const parsed = answer.success ? exchangeSchema.safeParse(answer.data) : null;
    meter.count('quarantine_exchanges', 1, { outcome: parsed?.success === true ? 'answered' : 'failed' });
    return parsed?.success === true ? parsed.data : null;
  }

  private async answer(params: unknown) {
    const request = exchangeSchema.safeParse(params);
    if (!request.success) return fail({ code: 'rejected' as const, message: 'malformed' });
    const { digest, news } = request.data;
    if (news !== null) this.learn(news);
    const isSame = digest === this.digest();
    return ok({
      digest: this.digest(),
      news: isSame || news !== null ? null : this.encodeAll(),
      synchronized: this.isSynchronized,
    });
  }

  private learn(news: WireNews): void {
    this.deps.quarantine.learn(decodeNews(news, this.deps.clock.monotonic()));
  }

  private encodeAll(): WireNews {
    return encodeNews(this.deps.quarantine.all(), this.deps.clock.monotonic());
  }

  private digest(): number {
    return hashName(this.deps.quarantine.summary());
  }

  /** At most `count` other gateways, at random. */
  private sample(count: number): readonly Member[] {
    const others = [...this.deps.members.live()];
    const sampled: Member[] = [];
    while (sampled.length < count && others.length > 0) {
      sampled.push(...others.splice(Math.floor(this.deps.random.float() * others.length), 1));
    }
    return sampled;
  }
}
