import { describe, expect, it } from 'vitest';
import { assertNever } from '../../src/utils/index.js';

describe('assertNever', () => {
  it('names the value that no case handled', () => {
    expect(() => assertNever('stray' as never)).toThrow('Unhandled variant: "stray"');
  });
});
