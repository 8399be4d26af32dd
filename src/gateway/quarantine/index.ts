export { Override } from './evidence.js';
export { QuarantineExchange } from './exchange.js';
export { partKey, Quarantine } from './quarantine.js';
export { Trials } from './trials.js';
export { WHOLE_PROMPT_MARK } from './verdict.js';
