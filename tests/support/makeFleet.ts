export { type FleetShape, makeFleet } from '../../standins/targets/index.js';
