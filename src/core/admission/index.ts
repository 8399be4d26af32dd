export * from './dispatch.js';
export * from './policy.js';
