export { type CarriedOutOrder, FleetStandIn, type FleetStandInOptions } from './FleetStandIn.js';
