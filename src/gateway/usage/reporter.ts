import { z } from 'zod';
import type { Authority, Leadership } from '../../core/authority/index.js';
import type {
  Clock, KeyValue, Log, Meter,
} from '../../core/interfaces/index.js';
import { safeParseJson } from '../../core/json.js';
import { sleep } from '../../core/time.js';
import { DutyOutcome } from '../provider.js';
import type { Provider, UsageReport } from '../provider.js';
import { mergeParts, totalCounts } from './collector.js';
import type { UsageCollector, UsagePart } from './collector.js';
import { KEPT_WINDOWS } from './counter.js';
import type { UsageCounter } from './counter.js';

/** Key of the newest report, written before it is sent, so that no other holder sends other counts for its window. */
const REPORT_KEY = 'usage/report';

const PERIOD_MS = 500;

/** Time in ms after the end of a window at which its counts are collected; clocks differ by less. */
const CLOSE_AFTER_MS = 600;

/** Share of the time until a report is due for which gateways that do not answer are asked again. */
const ASK_SHARE = 1 / 2;

const CALL_TIMEOUT_MS = 900;

const reportSchema = z.object({ window: z.number().int(), counts: z.record(z.string(), z.number()) });

/** Newest report that any holder has fixed. */
interface FixedReport {
  readonly report: UsageReport | null;
  /** Version of its key, expected by the next write. */
  readonly version: number;
  delivered: boolean;
}

/** Dependencies of {@link UsageReporter}. */
export interface UsageReporterDependencies {
  readonly clock: Clock;
  readonly log: Log;
  readonly meter: Meter;
  readonly store: KeyValue;
  readonly authority: Authority;
  readonly provider: Provider;
  readonly collector: UsageCollector;
  readonly counter: UsageCounter;
  /** Whether the configuration in force has workspaces. */
  readonly hasWorkspaces: () => boolean;
}

/** Options of {@link UsageReporter}. */
export interface UsageReporterOptions {
  readonly holder: string;
  /** Time in ms after the end of a window at which its report is due. */
  readonly dueMs: number;
}

/** Reports the usage of each window once, while this process holds the authority lease. */
export class UsageReporter {
  private fixed: FixedReport | null = null;

  private term = 0;

  /** Window whose counts are being collected, what has been collected and which gateways are still to be asked. */
  private collecting: { readonly window: number; part: UsagePart; missing: readonly string[] } | null = null;

  private readonly firstWindow: number;

  public constructor(private readonly deps: UsageReporterDependencies, private readonly opts: UsageReporterOptions) {
    this.firstWindow = deps.counter.current;
  }

  /** Reports closed windows until `signal` aborts. */
  public async run(signal: AbortSignal): Promise<void> {
    const { clock, authority } = this.deps;
    while (!signal.aborted) {
      await sleep(clock, PERIOD_MS, signal);
      const leadership = authority.currentLeadership();
      // Calls of the previous holder may still arrive until its lease would have expired.
      if (leadership === null || clock.monotonic() - leadership.acquiredAt < authority.leaseMs) continue;
      if (this.deps.hasWorkspaces()) await this.step(leadership);
    }
  }

  /** Newest report under stable keys. */
  public dump(): Record<string, unknown> {
    return {
      window: this.deps.counter.current,
      reported: this.fixed?.report?.window ?? null,
      delivered: this.fixed?.delivered ?? null,
    };
  }

  /** Does one step: reads what the previous holder fixed, delivers it, or collects and fixes the next window. */
  public async step(leadership: Leadership): Promise<void> {
    if (this.term !== leadership.term) {
      this.term = leadership.term;
      this.fixed = null;
      this.collecting = null;
    }
    this.fixed ??= await this.readFixed();
    if (this.fixed === null || !this.mayAct()) return;
    if (!this.fixed.delivered) await this.deliver(this.fixed);
    else await this.collectNext(this.fixed);
  }

  private mayAct(): boolean {
    return this.deps.authority.mayAct() && this.deps.authority.term === this.term;
  }

  private async readFixed(): Promise<FixedReport | null> {
    const entry = await this.deps.store.get(REPORT_KEY, { timeoutMs: CALL_TIMEOUT_MS });
    if (!entry.success) return null;
    if (entry.data === null) return { report: null, version: 0, delivered: true };
    const parsed = reportSchema.safeParse(safeParseJson(entry.data.value));
    const report = parsed.success ? parsed.data : null;
    // Whether the previous holder's call arrived is unknown; the same counts may be sent again while they matter.
    const isOld = report === null || report.window < this.deps.counter.current - KEPT_WINDOWS;
    return { report, version: entry.data.version, delivered: isOld };
  }

  private async deliver(fixed: FixedReport): Promise<void> {
    const { provider, log, meter } = this.deps;
    if (fixed.report === null) return;
    const outcome = await provider.reportUsage({ holder: this.opts.holder, token: this.term }, fixed.report, {
      timeoutMs: CALL_TIMEOUT_MS, mayStillSend: () => this.mayAct(),
    });
    meter.count('usage_reports', 1, { outcome });
    log.info('usage_reported', { window: fixed.report.window, outcome, term: this.term });
    const isTooLate = fixed.report.window < this.deps.counter.current - KEPT_WINDOWS;
    if (outcome === DutyOutcome.Accepted || isTooLate) this.fixed = { ...fixed, delivered: true };
  }

  private async collectNext(fixed: FixedReport): Promise<void> {
    const { counter, collector, clock } = this.deps;
    const oldest = counter.current - KEPT_WINDOWS;
    const window = Math.max(fixed.report === null ? this.firstWindow : fixed.report.window + 1, oldest);
    const sinceEndMs = clock.now().getTime() - counter.endOf(window);
    if (sinceEndMs < CLOSE_AFTER_MS) return;
    const isFirst = this.collecting?.window !== window;
    if (this.collecting === null || isFirst) {
      const own = collector.own(window);
      if (own === null) return;
      this.collecting = { window, part: own, missing: collector.addresses };
    }
    const { collecting } = this;
    const asked = isFirst
      ? await collector.collect(window, collecting.missing)
      : await collector.collectAgain(window, collecting.missing);
    collecting.part = { ...mergeParts([collecting.part, asked]), missing: [] };
    collecting.missing = asked.missing;
    if (asked.missing.length > 0 && sinceEndMs < ASK_SHARE * this.opts.dueMs) return;
    await this.fix({ window, counts: totalCounts(collecting.part) }, fixed.version, asked.missing.length);
  }

  /** Writes a report before it is sent; where the outcome of the write is unknown, the record is read again. */
  private async fix(report: UsageReport, version: number, missing: number): Promise<void> {
    const { store, log } = this.deps;
    if (!this.mayAct()) return;
    const written = await store.transact([
      { key: REPORT_KEY, expected: version, value: JSON.stringify(report) },
    ], { timeoutMs: CALL_TIMEOUT_MS });
    const [result] = written.success ? written.data : [];
    this.fixed = result?.applied === true ? { report, version: result.version, delivered: false } : null;
    this.collecting = null;
    log.info('usage_fixed', {
      window: report.window, workspaces: Object.keys(report.counts).length, missing, written: result?.applied ?? null,
    });
  }
}
