export * from './ledger.js';
export * from './rank.js';
