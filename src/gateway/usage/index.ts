export { UsageCollector } from './collector.js';
export { UsageCounter } from './counter.js';
export { UsageReporter } from './reporter.js';
