export { StoreAccess } from './StoreAccess.js';
export type { StoreFaults } from './StoreFaults.js';
export { type PageLimit, StoreStandIn, type StoreStandInOptions } from './StoreStandIn.js';
