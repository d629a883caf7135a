import { z } from 'zod';

const name = z.string();
const number = z.number();

/** Schema of a target call that one instance sends to another. */
export const targetCallSchema = z.discriminatedUnion('type', [
  z.looseObject({
    type: z.literal('start'),
    start: z.looseObject({
      taskName: name,
      run: number,
      payload: name,
      leaseUntilTargetMs: number,
      term: number,
      checkpoint: name.optional(),
      ticket: name.optional(),
    }),
  }),
  z.looseObject({ type: z.literal('stop'), taskName: name, run: number, term: number }),
  z.looseObject({
    type: z.literal('pace'),
    taskName: name,
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
  taskName: name,
  run: number,
  checkpoint: name.optional(),
  progressPercent: number,
  loadFigure: number.optional(),
});

const endedTask = z.looseObject({
  endNumber: number,
  taskName: name,
  run: number,
  end: z.enum(['done', 'failed', 'stopped', 'lapsed', 'gang-broken', 'gang-alone']),
  checkpoint: name.optional(),
});

/** Schema of a target's answer that one instance sends to another. */
export const targetAnswerSchema = z.discriminatedUnion('type', [
  z.looseObject({ type: z.literal('started'), targetClockMs: number }),
  z.looseObject({ type: z.literal('accepted') }),
  z.looseObject({ type: z.literal('refused'), reason: name, targetClockMs: number.optional() }),
  z.looseObject({ type: z.literal('other-lifetime') }),
  z.looseObject({ type: z.literal('stale-term') }),
  z.looseObject({ type: z.literal('unhealthy') }),
  z.looseObject({
    type: z.literal('report'),
    targetClockMs: number,
    running: z.array(runningTask),
    ended: z.array(endedTask),
  }),
]);
