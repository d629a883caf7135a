import { z } from 'zod';

/** Schema of a job's state in stored records and in messages between instances. */
export const durableJobStateSchema = z.enum([
  'queued',
  'running',
  'completed',
  'failed',
  'cancelled',
]);
