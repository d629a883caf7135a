import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { findQueue, type QueueConfiguration, type QueueRoute } from '../../src/queues/index.js';

const TERMS = {
  queue: 'pages',
  pool: 'editor',
  priority: 0,
  maxAttempts: 1,
  stretch: 1,
  targetDurationMs: 0,
};
const QUEUE_COUNT = 5_000;

function makeConfiguration(queues: readonly QueueRoute[]): QueueConfiguration {
  return { version: 1, queues, pools: [] };
}

describe('findQueue', () => {
  // Failure: each call on a small instance waits for a look at thousands of queues.
  it('looks at each queue once, however many calls there are', () => {
    let lookCount = 0;
    const queues = Array.from({ length: QUEUE_COUNT }, (_unused, place) => ({
      pathPrefix: `/q${place}/`,
      terms: TERMS,
      get host() {
        lookCount += 1;
        return 'wiki.example';
      },
    }));
    const configuration = makeConfiguration(queues);
    const found = queues.map(({ pathPrefix }) =>
      findQueue(configuration, 'wiki.example', `${pathPrefix}0123456789abcdef`),
    );
    expect(lookCount).toBeLessThanOrEqual(QUEUE_COUNT);
    expect(found.every((queue, place) => queue === queues[place])).toBe(true);
  });

  it('takes the longest prefix of the host', () => {
    const queues = [
      { host: 'a.example', pathPrefix: '/x/', terms: { ...TERMS, queue: 'short' } },
      { host: 'a.example', pathPrefix: '/x/y/', terms: { ...TERMS, queue: 'long' } },
      { host: 'b.example', pathPrefix: '/x/y/z/', terms: { ...TERMS, queue: 'other' } },
    ];
    const configuration = makeConfiguration(queues);
    expect(findQueue(configuration, 'a.example', '/x/y/z/1')?.terms.queue).toBe('long');
    expect(findQueue(configuration, 'a.example', '/x/1')?.terms.queue).toBe('short');
    expect(findQueue(configuration, 'c.example', '/x/1')).toBeUndefined();
  });

  it('finds the longest prefix that matches, and the first of equal ones', () => {
    const part = fc.constantFrom('', '/', '/a', '/a/', '/ab', '/a/b', '/a/b/');
    const host = fc.constantFrom('one.example', 'two.example');
    const route = fc.record({ host, pathPrefix: part, terms: fc.constant(TERMS) });
    fc.assert(
      fc.property(fc.array(route), host, part, (queues, ofHost, path) => {
        const [expected] = queues
          .filter((queue) => queue.host === ofHost && path.startsWith(queue.pathPrefix))
          .toSorted((a, b) => b.pathPrefix.length - a.pathPrefix.length);
        expect(findQueue(makeConfiguration(queues), ofHost, path)).toBe(expected);
      }),
    );
  });
});
