export * from './authority.js';
export * from './authoritystore.js';
