export {
  DaemonTransport,
  type DaemonRequest,
  type DaemonTransportOptions,
} from './DaemonTransport.js';
export { type ErrorBody, fromErrorBody, toErrorBody } from './ErrorBody.js';
export {
  OperatorClient,
  type OperatorClientOptions,
  type PublishRequest,
} from './OperatorClient.js';
export type {
  InstanceView,
  OperatorPort,
  PoolView,
  PublicationView,
  SettingsView,
  VmView,
  WaveView,
} from './OperatorPort.js';
export { OPERATOR_PREFIX, registerOperatorRoutes } from './registerOperatorRoutes.js';
