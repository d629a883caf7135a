export { StoreAccess } from './StoreAccess.js';
export type { StoreFaults } from './StoreFaults.js';
export { StoreStandIn, type StoreStandInOptions } from './StoreStandIn.js';
