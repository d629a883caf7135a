import { defineConfig } from 'vitest/config';

export default defineConfig({
  test: {
    include: ['tests/**/*.test.ts'],
    testTimeout: 60_000,
    hookTimeout: 60_000,
    maxWorkers: 6,
    reporters: ['default', ['json', { outputFile: '.vitest-results.json' }]],
  },
});
