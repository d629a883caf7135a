import type { FastifyInstance } from 'fastify';
import type { ScrapedMetrics } from '../metrics/index.js';
import { createHttpServer } from './createHttpServer.js';

const METRICS_PATH = '/metrics';

/**
 * Creates the server from which measurements are fetched; it does not listen yet.
 * @param metrics - The measurements.
 * @returns The server.
 */
export function createMetricsServer(metrics: ScrapedMetrics): FastifyInstance {
  const server = createHttpServer();
  server.get(METRICS_PATH, async (_request, reply) =>
    reply.header('Content-Type', metrics.contentType).send(await metrics.render()),
  );
  return server;
}
