import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { RattanliftError } from '../../src/errors/index.js';
import {
  authenticateCaller,
  digestKey,
  isKeyWithdrawn,
  NO_LIMIT,
  type QueueConfiguration,
  type QueueRoute,
} from '../../src/queues/index.js';
import { TERMS } from '../taskHome/HomeWorld.js';

const PRIVATE: QueueRoute = { host: 'wiki.example', pathPrefix: '/saves/', terms: TERMS };
const PUBLIC: QueueRoute = { ...PRIVATE, isPublic: true };

function configure(
  version: number,
  keys?: Readonly<Record<string, readonly string[]>>,
): QueueConfiguration {
  const organisations = Object.entries(keys ?? {}).map(([name, own]) => ({
    name,
    weight: 1,
    limit: NO_LIMIT,
    keyDigests: own.map(digestKey),
  }));
  const base = { version, queues: [PRIVATE, PUBLIC], pools: [] };
  return keys === undefined ? base : { ...base, organisations };
}

function getKind(action: () => unknown): string | undefined {
  try {
    action();
    return undefined;
  } catch (thrown) {
    return thrown instanceof RattanliftError ? thrown.kind : 'other';
  }
}

describe('authenticateCaller', () => {
  const configuration = configure(3, { council: ['key-1', 'key-2'], water: ['key-3'] });

  it('finds the organisation of a key', () => {
    expect(authenticateCaller(configuration, PRIVATE, 'key-2')).toEqual({
      organisation: 'council',
      keyDigest: digestKey('key-2'),
      configurationVersion: 3,
    });
  });

  it('refuses a call without a key, and one with a key that no organisation has', () => {
    expect(getKind(() => authenticateCaller(configuration, PRIVATE, undefined))).toBe(
      'key-rejected',
    );
    expect(getKind(() => authenticateCaller(configuration, PRIVATE, ''))).toBe('key-rejected');
    expect(getKind(() => authenticateCaller(configuration, PRIVATE, 'key'))).toBe('key-rejected');
    expect(getKind(() => authenticateCaller(configuration, PRIVATE, digestKey('key-1')))).toBe(
      'key-rejected',
    );
  });

  it('asks for no key on a public queue, nor without organisations', () => {
    expect(authenticateCaller(configuration, PUBLIC, 'unknown')).toBeUndefined();
    expect(authenticateCaller(configure(1), PRIVATE, undefined)).toBeUndefined();
  });

  it('keeps no key in the configuration, and tells none in its error', () => {
    expect(JSON.stringify(configuration)).not.toContain('key-1');
    const tell = (): string => {
      try {
        authenticateCaller(configuration, PRIVATE, 'secret-key');
        return '';
      } catch (thrown) {
        return JSON.stringify(thrown) + String(thrown);
      }
    };
    expect(tell()).toContain('withdrawn');
    expect(tell()).not.toContain('secret-key');
  });
});

describe('isKeyWithdrawn', () => {
  // Drawn histories of versions that add, withdraw and hand on keys. An entry may be any number of
  // versions behind its home, or ahead of it.
  it('passes no call whose key the newer of the two configurations does not hold', () => {
    const keys = fc.uniqueArray(fc.constantFrom('k1', 'k2', 'k3', 'k4'), { maxLength: 4 });
    const history = fc.array(fc.record({ council: keys, water: keys }), {
      minLength: 1,
      maxLength: 6,
    });
    fc.assert(
      fc.property(
        history,
        fc.nat(5),
        fc.nat(5),
        fc.constantFrom('k1', 'k2', 'k3', 'k4'),
        (drawn, entryAt, homeAt, key) => {
          const versions = drawn.map(({ council, water }, index) =>
            configure(index, { council, water: water.filter((own) => !council.includes(own)) }),
          );
          const entry = versions[entryAt % versions.length]!;
          const home = versions[homeAt % versions.length]!;
          const newer = entry.version > home.version ? entry : home;
          const ownerOf = (configuration: QueueConfiguration): string | undefined =>
            configuration.organisations?.find(({ keyDigests }) =>
              keyDigests.includes(digestKey(key)),
            )?.name;
          const kind = getKind(() => authenticateCaller(entry, PRIVATE, key));
          expect(kind).toBe(ownerOf(entry) === undefined ? 'key-rejected' : undefined);
          if (kind !== undefined) return;
          const caller = authenticateCaller(entry, PRIVATE, key);
          expect(isKeyWithdrawn(caller, home)).toBe(ownerOf(newer) !== caller?.organisation);
        },
      ),
    );
  });

  it('passes what needs no key, and what an older configuration or none is asked about', () => {
    const caller = authenticateCaller(configure(3, { council: ['k1'] }), PRIVATE, 'k1');
    expect(isKeyWithdrawn(undefined, configure(4, {}))).toBe(false);
    expect(isKeyWithdrawn(caller, undefined)).toBe(false);
    expect(isKeyWithdrawn(caller, configure(2, {}))).toBe(false);
    expect(isKeyWithdrawn(caller, configure(4))).toBe(false);
  });
});
