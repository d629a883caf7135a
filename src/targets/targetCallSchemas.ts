import { z } from 'zod';

const text = z.string();
const number = z.number();

/** Schema of a target call that one instance sends to another. */
export const targetCallSchema = z.discriminatedUnion('type', [
  z.looseObject({
    type: z.literal('start'),
    start: z.looseObject({
      taskName: text,
      run: number,
      payload: text,
      leaseUntilTargetMs: number,
      term: number,
      checkpoint: text.optional(),
      ticket: text.optional(),
    }),
  }),
  z.looseObject({ type: z.literal('stop'), taskName: text, run: number, term: number }),
  z.looseObject({
    type: z.literal('pace'),
    taskName: text,
    run: number,
    percent: number,
    term: number,
  }),
  z.looseObject({
    type: z.literal('renew'),
    renewal: z.looseObject({
      term: number,
      acknowledgedEndNumber: number,
      leaseUntilTargetMs: number.optional(),
      waitMs: number,
    }),
  }),
]);

const runningTask = z.looseObject({
  taskName: text,
  run: number,
  checkpoint: text.optional(),
  progressPercent: number,
  loadFigure: number.optional(),
});

const endedTask = z.looseObject({
  endNumber: number,
  taskName: text,
  run: number,
  end: z.enum(['done', 'failed', 'stopped', 'lapsed', 'gang-broken', 'gang-alone']),
  checkpoint: text.optional(),
});

/** Schema of a target's answer that one instance sends to another. */
export const targetAnswerSchema = z.discriminatedUnion('type', [
  z.looseObject({ type: z.literal('started'), targetClockMs: number }),
  z.looseObject({ type: z.literal('accepted') }),
  z.looseObject({ type: z.literal('refused'), reason: text, targetClockMs: number.optional() }),
  z.looseObject({ type: z.literal('other-lifetime') }),
  z.looseObject({ type: z.literal('unreachable') }),
  z.looseObject({ type: z.literal('reborn'), targetId: text }),
  z.looseObject({ type: z.literal('stale-term') }),
  z.looseObject({ type: z.literal('unhealthy') }),
  z.looseObject({
    type: z.literal('report'),
    targetClockMs: number,
    running: z.array(runningTask),
    ended: z.array(endedTask),
    // Instances of earlier versions don't tell.
    hasAllEnds: z.boolean().default(true),
  }),
]);
