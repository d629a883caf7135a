export { type ClusterNode, JobsCluster, type JobsClusterOptions } from './JobsCluster.js';
