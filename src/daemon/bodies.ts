import type { IncomingMessage } from 'node:http';
import type { Clock, Disposable } from '../core/interfaces/index.js';
import { fail, ok } from '../core/result.js';
import type { Result } from '../core/result.js';
import { BodyPacer } from './bodypacer.js';

/** Why a body was not received; the request was not run. */
export type BodyFailure =
  | { readonly code: 'aborted' }
  | { readonly code: 'body_too_large'; readonly limitBytes: number }
  | { readonly code: 'request_timeout' }
  | { readonly code: 'overloaded'; readonly retryAfterMs: number };

/** Limits on the bodies of one listener. */
export interface BodyLimits {
  /** Memory in bytes of all bodies together, from their first byte until their call has ended. */
  total: number;
  /** Largest body in bytes. */
  body: number;
  /** Time in ms without a byte after which an unfinished body is refused. */
  stallMs: number;
}

/** Dependencies of {@link BodyReceiver}. */
export interface BodyReceiverDependencies {
  readonly clock: Clock;
  /** Frees the memory of chunks that were read; without it, V8 lets some 64 MB of them add up. */
  readonly collectChunks: () => void;
}

/** Size in bytes of the blocks of which a large body consists until it is complete. */
const BLOCK_BYTES = 16_384;

const MIN_CAPACITY_BYTES = 1_024;

/** Bodies above this share of the total leave {@link SMALL_BODIES_SHARE} of it to smaller ones. */
const LARGE_BODY_SHARE = 1 / 64;

const SMALL_BODIES_SHARE = 1 / 4;

const OVERLOADED: BodyFailure = { code: 'overloaded', retryAfterMs: 1_000 };

const STALL_CHECK_MS = 1_000;

/** Bytes read, as a share of the total, after which the memory of their chunks is freed. */
const COLLECT_SHARE = 1 / 4;

/**
 * Bytes of a refused body that are read on, so that its client sees the answer; more only where the refusal is not for
 * lack of memory, because what is read takes memory until it is collected.
 */
const MIN_DISCARD_BYTES = 65_536;

/** Time in ms in which the rest of a refused body is discarded; closing earlier could lose the answer. */
const DISCARD_MS = 3_000;

/** Blocks that are used again, because the garbage collector frees buffers late. */
class BlockPool {
  private readonly free: Buffer[] = [];

  public take(): Buffer {
    return this.free.pop() ?? Buffer.allocUnsafeSlow(BLOCK_BYTES);
  }

  /** Takes back blocks; at most `kept` bytes of unused ones stay allocated. */
  public giveBack(blocks: readonly Buffer[], kept: number): void {
    this.free.push(...blocks);
    this.free.length = Math.min(this.free.length, Math.max(0, Math.floor(kept / BLOCK_BYTES)));
  }
}

/** Body that is being received. Chunks are copied, because a slice keeps alive all bytes that were read with it. */
class UnfinishedBody {
  /** Buffer of a body that fits into one block. */
  private small = Buffer.alloc(0);

  private blocks: Buffer[] = [];

  private size = 0;

  public progressedAt = 0;

  /** Ends the body without its call. */
  public refuse: (failure: BodyFailure) => void = () => {};

  public constructor(
    private readonly expectedBytes: number | null,
    private readonly pool: BlockPool,
  ) {}

  /** Memory in bytes that the body takes. */
  public get capacity(): number {
    return this.blocks.length === 0 ? this.small.length : this.blocks.length * BLOCK_BYTES;
  }

  public get length(): number {
    return this.size;
  }

  /** Memory in bytes that the body takes with `bytes` more. */
  public capacityFor(bytes: number): number {
    const needed = this.size + bytes;
    if (needed <= this.capacity) return this.capacity;
    if (needed > BLOCK_BYTES) return Math.ceil(needed / BLOCK_BYTES) * BLOCK_BYTES;
    const doubled = Math.max(needed, 2 * this.small.length, MIN_CAPACITY_BYTES);
    return Math.max(needed, Math.min(doubled, BLOCK_BYTES, this.expectedBytes ?? BLOCK_BYTES));
  }

  public append(chunk: Buffer): void {
    const capacity = this.capacityFor(chunk.length);
    if (capacity <= BLOCK_BYTES && this.blocks.length === 0) this.appendSmall(chunk, capacity);
    else this.appendBlocks(chunk, capacity);
    this.size += chunk.length;
  }

  /** All bytes; the blocks may be used again afterwards. */
  public bytes(): Buffer {
    if (this.blocks.length === 0) return this.small.subarray(0, this.size);
    const bytes = Buffer.allocUnsafeSlow(this.size);
    this.blocks.forEach((block, index) => block.copy(bytes, index * BLOCK_BYTES));
    return bytes;
  }

  /** Blocks of the body, which are no longer its own. */
  public takeBlocks(): readonly Buffer[] {
    const { blocks } = this;
    this.blocks = [];
    return blocks;
  }

  private appendSmall(chunk: Buffer, capacity: number): void {
    if (capacity > this.small.length) {
      const grown = Buffer.allocUnsafeSlow(capacity);
      this.small.copy(grown, 0, 0, this.size);
      this.small = grown;
    }
    chunk.copy(this.small, this.size);
  }

  private appendBlocks(chunk: Buffer, capacity: number): void {
    while (this.blocks.length * BLOCK_BYTES < capacity) this.blocks.push(this.pool.take());
    if (this.small.length > 0) {
      this.small.copy(this.blocks[0]!, 0, 0, this.size);
      this.small = Buffer.alloc(0);
    }
    for (let copied = 0; copied < chunk.length;) {
      const position = this.size + copied;
      const offset = position % BLOCK_BYTES;
      copied += chunk.copy(this.blocks[Math.floor(position / BLOCK_BYTES)]!, offset, copied);
    }
  }
}

/**
 * Receives the bodies of one listener in bounded memory. When there is none left, the largest unfinished body is
 * refused, so that clients that never finish theirs do not keep out ordinary callers.
 */
export class BodyReceiver {
  private usedBytes = 0;

  /** Bytes read since the memory of chunks was last freed. */
  private uncollectedBytes = 0;

  private readonly unfinished = new Set<UnfinishedBody>();

  private readonly pool = new BlockPool();

  /** Memory in bytes of each body, until its call has ended. */
  private readonly charges = new WeakMap<IncomingMessage, number>();

  /** Requests of whose bodies the rest is discarded. */
  private readonly discarded = new WeakSet<IncomingMessage>();

  private stallCheck: Disposable | null = null;

  public constructor(public readonly limits: BodyLimits, private readonly deps: BodyReceiverDependencies) {}

  /** Memory in bytes that bodies take now. */
  public get used(): number {
    return this.usedBytes;
  }

  /** Receives the body of a request; its memory counts until {@link release}. */
  public receive(req: IncomingMessage): Promise<Result<Buffer, BodyFailure>> {
    const { limits } = this;
    const stated = Number(req.headers['content-length'] ?? NaN);
    const tooLarge: BodyFailure = { code: 'body_too_large', limitBytes: limits.body };
    if (stated > limits.body) {
      this.discardRest(req);
      return Promise.resolve(fail(tooLarge));
    }
    this.charges.set(req, 0);
    const body = new UnfinishedBody(Number.isNaN(stated) ? null : stated, this.pool);
    const pacer = new BodyPacer(req.socket);
    return new Promise((resolve) => {
      let settled = false;
      const settle = (result: Result<Buffer, BodyFailure>): void => {
        if (settled) return;
        settled = true;
        pacer.dispose();
        this.stopReceiving(body);
        req.removeAllListeners('data').removeAllListeners('end').removeAllListeners('close');
        this.charge(req, result.success ? result.data.buffer.byteLength : 0);
        if (!result.success) this.discardRest(req, result.error.code === 'overloaded' ? MIN_DISCARD_BYTES : undefined);
        resolve(result);
      };
      const refuse = (failure: BodyFailure): void => settle(fail(failure));
      body.refuse = refuse;
      this.watch(body);
      req.on('data', (chunk: Buffer) => {
        pacer.count();
        this.countRead(chunk.length);
        body.progressedAt = this.deps.clock.monotonic();
        const capacity = body.capacityFor(chunk.length);
        if (body.length + chunk.length > limits.body) refuse(tooLarge);
        else if (!this.makeRoom(body, capacity - body.capacity)) refuse(OVERLOADED);
        else {
          body.append(chunk);
          this.charge(req, capacity);
        }
      });
      req.on('end', () => {
        // The blocks and the copy of them that the call keeps take memory at the same time.
        const copied = body.capacity > BLOCK_BYTES ? body.length : 0;
        if (this.makeRoom(body, copied)) settle(ok(body.bytes()));
        else refuse(OVERLOADED);
      });
      req.on('close', () => refuse({ code: 'aborted' }));
      req.on('error', () => {});
    });
  }

  /** Stops counting the body of a request, because nothing refers to it any longer. */
  public release(req: IncomingMessage): void {
    this.charge(req, 0);
    this.charges.delete(req);
  }

  /** Discards what a client still sends of a refused body, and closes its connection if that does not end soon. */
  public discardRest(req: IncomingMessage, bytes = Math.max(MIN_DISCARD_BYTES, this.limits.body)): void {
    if (req.complete || req.destroyed || this.discarded.has(req)) return;
    this.discarded.add(req);
    const { socket } = req;
    let rest = bytes;
    const pacer = new BodyPacer(socket);
    const timer = this.deps.clock.after(DISCARD_MS, () => socket.destroy());
    req.on('data', (chunk: Buffer) => {
      pacer.count();
      this.countRead(chunk.length);
      rest -= chunk.length;
      if (rest < 0) socket.destroy();
    });
    req.on('error', () => {});
    const stop = (): void => {
      timer.dispose();
      pacer.dispose();
    };
    req.once('end', stop);
    req.once('close', stop);
    req.resume();
  }

  private stopReceiving(body: UnfinishedBody): void {
    this.unfinished.delete(body);
    this.pool.giveBack(body.takeBlocks(), this.limits.total - this.usedBytes);
  }

  private countRead(bytes: number): void {
    this.uncollectedBytes += bytes;
    if (this.uncollectedBytes < this.limits.total * COLLECT_SHARE) return;
    this.uncollectedBytes = 0;
    this.deps.collectChunks();
  }

  private charge(req: IncomingMessage, bytes: number): void {
    const before = this.charges.get(req);
    // After its release, nothing would take the charge back.
    if (before === undefined) return;
    this.usedBytes += bytes - before;
    this.charges.set(req, bytes);
  }

  /** Refuses the largest unfinished bodies until `body` can take `bytes` more; false if it is the largest itself. */
  private makeRoom(body: UnfinishedBody, bytes: number): boolean {
    const { total } = this.limits;
    const grown = body.capacity + bytes;
    const available = grown > total * LARGE_BODY_SHARE ? total * (1 - SMALL_BODIES_SHARE) : total;
    while (bytes > 0 && this.usedBytes + bytes > available) {
      let largest = body;
      for (const other of this.unfinished) if (other.capacity > largest.capacity) largest = other;
      if (largest === body) return false;
      largest.refuse(OVERLOADED);
    }
    return true;
  }

  private watch(body: UnfinishedBody): void {
    body.progressedAt = this.deps.clock.monotonic();
    this.unfinished.add(body);
    this.stallCheck ??= this.deps.clock.after(STALL_CHECK_MS, () => this.refuseStalled());
  }

  private refuseStalled(): void {
    this.stallCheck = null;
    const now = this.deps.clock.monotonic();
    for (const body of [...this.unfinished]) {
      if (now - body.progressedAt > this.limits.stallMs) body.refuse({ code: 'request_timeout' });
    }
    if (this.unfinished.size > 0) this.stallCheck = this.deps.clock.after(STALL_CHECK_MS, () => this.refuseStalled());
  }
}
