export * from './roles.js';
export * from './capacity.js';
