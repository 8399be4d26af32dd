export * from './demand.js';
export * from './costrouter.js';
export * from './health.js';
export * from './hedging.js';
export * from './prefixes.js';
export * from './quickrouter.js';
export * from './router.js';
export * from './subset.js';
