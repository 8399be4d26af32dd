export * from './affinity.js';
export * from './costrouter.js';
export * from './health.js';
export * from './hedging.js';
export * from './prefixes.js';
export * from './quickrouter.js';
export * from './routing.js';
export * from './subset.js';
