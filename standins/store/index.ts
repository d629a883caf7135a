export type { StoreFaults } from './StoreFaults.js';
export { StoreStandIn, type StoreStandInOptions } from './StoreStandIn.js';
