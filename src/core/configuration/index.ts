export * from './apply.js';
export * from './configuration.js';
export * from './fleet.js';
export * from './revisions.js';
export * from './settings.js';
