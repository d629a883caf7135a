import { readFileSync } from 'node:fs';
import { describe, expect, it } from 'vitest';
import {
  availabilitySchema,
  jobKindSchema,
  poolSchema,
  quotaSchema,
  teamSettingsSchema,
} from '../../src/settings/index.js';

const DOCS = readFileSync(new URL('../../docs/SETTINGS.md', import.meta.url), 'utf8');

describe('docs/SETTINGS.md', () => {
  it('has a row for every setting', () => {
    const { maintenance } = poolSchema.unwrap().shape;
    const schemas = [teamSettingsSchema, poolSchema, availabilitySchema, jobKindSchema, quotaSchema]
      .map((schema) => schema.unwrap().shape)
      .concat(maintenance.unwrap().unwrap().shape as never);
    const names = schemas.flatMap((shape) => Object.keys(shape));
    expect(names).toContain('rollOutWeight');
    expect(names.filter((name) => !DOCS.includes(`\n| \`${name}\` `))).toEqual([]);
  });
});
