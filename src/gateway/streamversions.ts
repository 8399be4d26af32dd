import { createHash } from 'node:crypto';
import type { Clock } from '../core/interfaces/index.js';
import { fail, ok } from '../core/result.js';
import type { Result } from '../core/result.js';
import type { Call } from './codec.js';
import type { Refusal } from './outcome.js';
import type { ServerRegistry } from './serverregistry.js';

/** Where a stream began: the service, and the version of the software of the server that brought its first event. */
export interface StreamOrigin {
  readonly service: string;
  readonly softwareVersion: string;
}

/** How the origin of a stream was found. */
export enum OriginSource {
  /** This gateway has passed the stream on, or has read its origin before. */
  Memory = 'memory',
  /** A gateway has written it down. */
  Record = 'record',
  /** The service has no other version. */
  OnlyVersion = 'only',
  /** Another gateway has passed the stream on. */
  Gateway = 'gateway',
}

/** Origin of a stream, and how it was found. */
export interface FoundOrigin extends StreamOrigin {
  readonly source: OriginSource;
}

/** Stream that may still be taken up. */
interface Binding extends StreamOrigin {
  /** Monotonic time in ms after which no caller takes the stream up. */
  expiresAt: number;
  finished: boolean;
}

/** Largest number of streams whose origin is kept; the oldest are dropped first. */
const MAX_BINDINGS = 20_000;

/** Time in ms beyond the deadline of its caller for which the origin of a stream is kept. */
const MARGIN_MS = 2_000;

/** Longest time in ms for which callers take a stream up where they state no deadline. */
export const MAX_TAKE_UP_MS = 60_000;

/** Longest id that is kept as it is, in characters; others are kept as their digest. */
const MAX_ID_CHARACTERS = 64;

const RETRY_AFTER_MS = 250;

/** Retry delay in ms where no server of the version is there; one that is alive has registered again by then. */
const NO_VERSION_RETRY_MS = 2_000;

/** Key of a stream: the id of the attempt that brought its first event, or the digest of a long one. */
export function streamKey(id: string): string {
  return id.length <= MAX_ID_CHARACTERS ? id : createHash('sha256').update(id).digest('hex');
}

/** Versions of the software by service. */
export class ServiceVersions {
  private readonly byService = new Map<string, Set<string>>();

  public add({ service, softwareVersion }: StreamOrigin): void {
    const known = this.byService.get(service);
    if (known === undefined) this.byService.set(service, new Set([softwareVersion]));
    else known.add(softwareVersion);
  }

  public has({ service, softwareVersion }: StreamOrigin): boolean {
    return this.byService.get(service)?.has(softwareVersion) === true;
  }

  public of(service: string): readonly string[] {
    return [...this.byService.get(service) ?? []];
  }

  public get services(): readonly string[] {
    return [...this.byService.keys()];
  }
}

/** Origins of the streams that this gateway has passed on, by the ids of the attempts that brought them. */
export class StreamBindings {
  private readonly bindings = new Map<string, Binding>();

  /** Monotonic time in ms until which streams of a version may be taken up, by service and version. */
  private readonly usedUntil = new Map<string, Map<string, number>>();

  public constructor(private readonly clock: Clock) {}

  /** Records where the stream of a call began, under the attempt that began it and under this one. */
  public bind({ id, resumes, deadlineMs }: Call, origin: StreamOrigin): void {
    const expiresAt = this.clock.monotonic() + (deadlineMs ?? MAX_TAKE_UP_MS) + MARGIN_MS;
    const versions = this.usedUntil.get(origin.service) ?? new Map<string, number>();
    this.usedUntil.set(origin.service, versions);
    versions.set(origin.softwareVersion, Math.max(versions.get(origin.softwareVersion) ?? 0, expiresAt));
    for (const name of new Set([resumes ?? id, id])) {
      if (name === null) continue;
      const key = streamKey(name);
      // A known origin stays: all later attempts go on with the stream that the first one began.
      const { service, softwareVersion, expiresAt: until } = this.bindings.get(key) ?? { ...origin, expiresAt };
      this.bindings.delete(key);
      this.bindings.set(key, {
        service, softwareVersion, expiresAt: Math.max(until, expiresAt), finished: false,
      });
    }
    this.dropExpired();
  }

  /** Records that the whole stream of a call was passed on. */
  public finish({ id, resumes }: Call): void {
    for (const name of [resumes, id]) {
      const binding = name === null ? undefined : this.bindings.get(streamKey(name));
      if (binding !== undefined) binding.finished = true;
    }
  }

  public find(id: string): StreamOrigin | null {
    return this.bindings.get(streamKey(id)) ?? null;
  }

  /** Streams that callers may still take up, with their ids and whether they were passed on as a whole. */
  public* unexpired(): Iterable<readonly [string, Readonly<Binding>]> {
    const now = this.clock.monotonic();
    for (const entry of this.bindings) if (entry[1].expiresAt > now) yield entry;
  }

  /** Versions whose streams callers may still take up, also where the streams themselves were dropped. */
  public inUse(): readonly StreamOrigin[] {
    const now = this.clock.monotonic();
    return [...this.usedUntil].flatMap(([service, versions]) => [...versions].flatMap(([softwareVersion, until]) => {
      if (until > now) return [{ service, softwareVersion }];
      versions.delete(softwareVersion);
      return [];
    }));
  }

  public get size(): number {
    return this.bindings.size;
  }

  private dropExpired(): void {
    const now = this.clock.monotonic();
    for (const [id, { expiresAt }] of this.bindings) {
      if (expiresAt > now && this.bindings.size <= MAX_BINDINGS) return;
      this.bindings.delete(id);
    }
  }
}

/** What all gateways have written down of streams. */
export interface FleetStreams {
  find(id: string): StreamOrigin | null;
  /** Versions that gateways have had in use for the streams of a service. */
  versions(service: string): readonly string[];
  /** Whether a server may begin streams: its version is written down. */
  mayBegin(server: StreamOrigin): boolean;
  /**
   * Reads what is written and which servers are registered now; false where a version in use may be unknown. What was
   * read or seen before proves nothing, as this gateway may have been cut off or have stood still since.
   */
  read(): Promise<boolean>;
}

/** Origins of streams in the memory of other gateways. */
export interface StreamPeers {
  /** Asks other gateways where a stream began; `null` where none of them knows. */
  ask(id: string): Promise<StreamOrigin | null>;
}

/** Dependencies of {@link StreamVersions}. */
export interface StreamVersionsDependencies {
  readonly registry: Pick<ServerRegistry, 'all' | 'available'>;
  readonly bindings: StreamBindings;
  readonly fleet: FleetStreams;
  readonly peers: StreamPeers;
}

/** Finds the version of the software at which a stream must go on that a caller takes up. */
export class StreamVersions {
  public constructor(private readonly deps: StreamVersionsDependencies) {}

  /**
   * Origin of the stream that a call takes up, which may go to one of `services`; refused where the origin is not
   * known for certain, or where no server there can go on with the stream.
   */
  public async originOf(call: Call, services: readonly string[]): Promise<Result<FoundOrigin, Refusal>> {
    const origin = await this.find(call, services);
    if (origin === null) return fail({ code: 'version_unknown', retryAfterMs: RETRY_AFTER_MS });
    // A route that has moved to another service goes on there at the same version.
    const service = services.includes(origin.service) ? origin.service : services[0] ?? origin.service;
    const canGoOn = origin.softwareVersion !== '' && this.deps.registry.available(service).some(({ softwareVersion }) => (
      softwareVersion === origin.softwareVersion
    ));
    return canGoOn ? ok({ ...origin, service }) : fail({ code: 'version_gone', retryAfterMs: NO_VERSION_RETRY_MS });
  }

  /** Origin of the stream that a call takes up, as far as it is known without the store. */
  public remembered({ resumes }: Call): StreamOrigin | null {
    return resumes === null ? null : this.deps.bindings.find(resumes) ?? this.deps.fleet.find(resumes);
  }

  /** Whether a server may begin streams. */
  public mayBegin(server: StreamOrigin): boolean {
    return this.deps.fleet.mayBegin(server);
  }

  /** Records where the stream of a call began. */
  public bind(call: Call, origin: StreamOrigin): void {
    this.deps.bindings.bind(call, origin);
  }

  /** Records that the whole stream of a call was passed on. */
  public finish(call: Call): void {
    this.deps.bindings.finish(call);
  }

  private async find(call: Call, services: readonly string[]): Promise<FoundOrigin | null> {
    const { fleet, peers } = this.deps;
    const remembered = this.remembered(call);
    if (remembered !== null) return { ...remembered, source: OriginSource.Memory };
    const isComplete = await fleet.read();
    const written = this.remembered(call);
    if (written !== null) return { ...written, source: OriginSource.Record };
    const only = isComplete ? this.onlyOrigin(services) : null;
    if (only !== null) return { ...only, source: OriginSource.OnlyVersion };
    const known = call.resumes === null ? null : await peers.ask(call.resumes);
    return known === null ? null : { ...known, source: OriginSource.Gateway };
  }

  /** The one version that the stream can have, or `null` where there are several. */
  private onlyOrigin(services: readonly string[]): StreamOrigin | null {
    const { registry, fleet } = this.deps;
    const servers = registry.all().filter(({ service }) => services.includes(service));
    const versions = new Set([
      ...servers.map(({ softwareVersion }) => softwareVersion),
      ...services.flatMap((service) => fleet.versions(service)),
    ]);
    const [softwareVersion] = versions;
    const [service] = services;
    if (versions.size !== 1 || softwareVersion === undefined || service === undefined) return null;
    return { service, softwareVersion };
  }
}
