export * from './roles.js';
export * from './split.js';
