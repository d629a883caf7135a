import { mkdtempSync, readFileSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { describe, expect, it } from 'vitest';
import { readSettings, splitAddress } from '../../platform/readSettings.js';

const TEMPLATE = readFileSync('deploy/settings.jsonc', 'utf8');
const VALUES: Readonly<Record<string, string>> = {
  node_name: 'frontend-1',
  ip: '10.1.0.9',
  'internal_ports.0': '7060',
  zone: 'hall-a',
  'limits.cpu_share': '0.675',
  'limits.cores': '2',
  'limits.link_mbps': '1000.0',
  'listen_addrs.frontend': '10.1.0.9:8624',
  'listen_addrs.ready': '10.1.0.9:8622',
  'platform.address': '10.200.1.7:8621',
  'platform.parts': '16',
  'platform.ttl_min_ms': '1000',
  'platform.record_bytes': '262144',
  'cloud_api.address': '10.200.0.107:8621',
  'bounds.hold_max_ms': '10000',
  'bounds.status_s': '120',
  'bounds.lease_ms': '3000',
};

/** Fills a section as the platform does: once if it is true, or once for each entry of a list. */
function fillSection(value: string | undefined, section: string): string {
  if (value === undefined || value === 'false') return '';
  if (value === 'true') return section;
  return value
    .split(',')
    .map((entry) => section.replace('{{.}}', entry).replace('{{,}}', ','))
    .join('')
    .replace(/,$/, '');
}

function fill(
  changes: Readonly<Record<string, string>> = {},
  edit: (text: string) => string = (text) => text,
): string {
  const values = { ...VALUES, ...changes };
  const text = TEMPLATE.replaceAll(
    /\{\{#([^}]+)\}\}(.*?)\{\{\/\1\}\}/gs,
    (_all, name: string, section: string) => fillSection(values[name], section),
  ).replaceAll(/\{\{([^}]+)\}\}/g, (_all, name: string) => values[name]!);
  const file = join(mkdtempSync(join(tmpdir(), 'settings-')), 'entry.jsonc');
  writeFileSync(file, edit(text));
  return file;
}

describe('readSettings', () => {
  it('reads the template once the platform has filled it in', () => {
    expect(readSettings(fill())).toMatchObject({
      name: 'frontend-1',
      peerPort: 7060,
      storePartitionCount: 16,
      storeMaxRecordBytes: 262_144,
      longestTargetLeaseMs: 10_000,
      coreShare: 0.675,
      coreSpeed: 2,
      linkMbps: 1_000,
      mechanismsOff: [
        'peaks-foreseen',
        'idle-vms-off',
        'need-by-known-work',
        'shortages-shared',
        'urgent-work-preempts',
        'slow-targets-avoided',
        'grey-targets-avoided',
        'late-runs-restarted',
      ],
    });
  });

  it('bounds the age of keys only where the platform asks for strict withdrawals', () => {
    expect(readSettings(fill()).maxKeyAgeMs).toBeUndefined();
    const lenient = { 'bounds.strict_revocation': 'false', 'bounds.revoke_ms': '5000' };
    expect(readSettings(fill(lenient)).maxKeyAgeMs).toBeUndefined();
    const strict = { ...lenient, 'bounds.strict_revocation': 'true' };
    expect(readSettings(fill(strict)).maxKeyAgeMs).toBe(5_000);
  });

  it('refuses unservable jobs only where the platform tells of pressure, unless told otherwise', () => {
    const read = (contracts: string, line = '"mechanismsOff"') =>
      readSettings(fill({ contracts }, (text) => text.replace('"mechanismsOff"', line)))
        .refusesUnservableJobs;
    expect(readSettings(fill()).refusesUnservableJobs).toBe(false);
    expect(read('base,drain,cost')).toBe(false);
    expect(read('base,pressure,cost')).toBe(true);
    const override = (value: string): string =>
      `"refusesUnservableJobs": ${value}, "mechanismsOff"`;
    expect(read('base,pressure', override('false'))).toBe(false);
    expect(read('base', override('true'))).toBe(true);
    expect(() => read('base', override('"yes"'))).toThrow(
      /entry\.jsonc:\d+:\d+.*refusesUnservableJobs.*true or false/s,
    );
  });

  it('takes only mechanisms that there are', () => {
    const off = (list: string): readonly string[] =>
      readSettings(
        fill({}, (text) => text.replace(/"mechanismsOff": \[.*?\]/s, `"mechanismsOff": ${list}`)),
      ).mechanismsOff;
    expect(off('["kept-by-peak"]')).toEqual(['kept-by-peak']);
    expect(() => off('["kept"]')).toThrow(/mechanismsOff/);
  });

  it('names the field and the line of a wrong value', () => {
    const act = () => readSettings(fill({ 'listen_addrs.ready': 'nowhere' }));
    expect(act).toThrow(/:9:\d+.*readyAddress/s);
  });

  it('splits an address at its last colon', () => {
    expect(splitAddress('10.1.0.9:8624')).toEqual({ host: '10.1.0.9', port: 8624 });
  });
});
