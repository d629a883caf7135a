import { z } from 'zod';

const MAX_NAME_LENGTH = 200;
const MAX_WAVE_POOL_COUNT = 1000;

const name = z.string().min(1).max(MAX_NAME_LENGTH);

/** Body of a publication. */
export const publishRequestSchema = z
  .strictObject({
    /** JSON with comments, as the operator wrote it. */
    document: z.string(),
    /** Version that the operator saw; 0 for the first publication. */
    baseVersion: z.int().nonnegative(),
    author: name,
    /** Name to show with problems. */
    fileName: name.default('document'),
  })
  .readonly();

/** Body of an order that needs nothing but the name of who gives it. */
export const orderRequestSchema = z.strictObject({ author: name }).readonly();

/** Body of the start of a wave. */
export const waveRequestSchema = z
  .strictObject({
    pools: z.array(name).min(1).max(MAX_WAVE_POOL_COUNT).readonly(),
    author: name,
  })
  .readonly();

/** Query of the history. */
export const historyQuerySchema = z.strictObject({ team: name.optional() }).readonly();

/** Query of an explanation. */
export const explainQuerySchema = z.strictObject({ subject: name }).readonly();
