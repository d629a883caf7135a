import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { findHeadFault } from '../../src/callers/findHeadFault.js';

const TOKEN_CHARACTERS =
  "!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ";
const HOST = ['Host', 'wiki.example:7075'];

function find(rawHeaders: readonly string[], httpVersion = '1.1', headers = {}) {
  return findHeadFault({ rawHeaders: [...rawHeaders], httpVersion, headers });
}

describe('findHeadFault', () => {
  it('lets every name pass that is a token, and no other', () => {
    const names = fc.string({ unit: 'binary-ascii', minLength: 0, maxLength: 8 });
    fc.assert(
      fc.property(names, (name) => {
        const isToken = name !== '' && [...name].every((part) => TOKEN_CHARACTERS.includes(part));
        fc.pre(name.toLowerCase() !== 'host');
        expect(find([...HOST, name, 'x']) === undefined).toBe(isToken);
      }),
    );
  });

  it.each([
    ['a whole head', [...HOST, 'Accept', '*/*']],
    ['an empty host', ['Host', '']],
    ['an address of IPv6', ['host', '[::1]:80']],
    ['a value with any characters', [...HOST, 'X-Note', ': a\tb "c" \xe4']],
  ])('lets %s pass', (_name, rawHeaders) => {
    expect(find(rawHeaders)).toBeUndefined();
  });

  it('lets a request of HTTP/1.0 without a host pass', () => {
    expect(find([], '1.0')).toBeUndefined();
  });

  it.each([
    ['no host', [], '1.1', {}, /no Host/],
    ['two hosts', ['Host', 'a', 'HOST', 'a'], '1.1', {}, /more than one Host/],
    ['two hosts in HTTP/1.0', ['Host', 'a', 'Host', 'b'], '1.0', {}, /more than one Host/],
    ['a host with a path', ['Host', 'a/b'], '1.1', {}, /no host/],
    ['another version', HOST, '0.9', {}, /version/],
    ['chunks in HTTP/1.0', HOST, '1.0', { 'transfer-encoding': 'chunked' }, /Transfer-Encoding/],
    ['an unknown expectation', HOST, '1.1', { expect: 'miracle' }, /Expect/],
  ])('refuses %s', (_name, rawHeaders, version, headers, fault) => {
    expect(find(rawHeaders, version, headers)).toMatch(fault);
  });
});
