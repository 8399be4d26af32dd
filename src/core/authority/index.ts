export * from './authority.js';
export * from './terms.js';
