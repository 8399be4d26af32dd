export * from './addresses.js';
export * from './draining.js';
export * from './members.js';
export * from './membership.js';
export * from './announcements.js';
