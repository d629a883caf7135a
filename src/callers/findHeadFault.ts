import type { IncomingMessage } from 'node:http';

/** A field name: `token` of RFC 9110, 5.6.2. */
const FIELD_NAME = /^[!#$%&'*+\-.^_`|~0-9A-Za-z]+$/;
/** Characters of a host with a port: RFC 3986, 3.2.2 and 3.2.3. */
const HOST = /^[0-9A-Za-z\-._~!$&'()*+,;=%:[\]]*$/;
const KNOWN_VERSIONS: ReadonlySet<string> = new Set(['1.0', '1.1']);
const KNOWN_EXPECTATION = '100-continue';

/** The parts of a request's head that are checked. */
type RequestHead = Pick<IncomingMessage, 'headers' | 'httpVersion' | 'rawHeaders'>;

function listHosts({ rawHeaders }: RequestHead): readonly string[] {
  return rawHeaders.filter(
    (_value, index) => index % 2 === 1 && rawHeaders[index - 1]!.toLowerCase() === 'host',
  );
}

function findHostFault(head: RequestHead): string | undefined {
  const hosts = listHosts(head);
  if (hosts.length > 1) return 'it has more than one Host header';
  if (hosts.length === 0 && head.httpVersion === '1.1') return 'it has no Host header';
  return hosts.every((host) => HOST.test(host)) ? undefined : 'its Host header is no host';
}

/**
 * Finds what is broken in the head of a request that the HTTP parser has let pass. What the parser
 * checks differs with the processor for which it was built.
 * @param head - Version and headers of the request.
 * @returns What is broken; undefined if nothing is. Source: RFC 9110, 5.1 and 10.1.1; RFC 9112, 3.2
 * and 6.1.
 * @internal
 */
export function findHeadFault(head: RequestHead): string | undefined {
  const { headers, httpVersion, rawHeaders } = head;
  if (!KNOWN_VERSIONS.has(httpVersion)) return 'its version of HTTP is not known';
  const isEachNameValid = rawHeaders.every(
    (name, index) => index % 2 === 1 || FIELD_NAME.test(name),
  );
  if (!isEachNameValid) return 'the name of a header is no token';
  if (httpVersion === '1.0' && headers['transfer-encoding'] !== undefined) {
    return 'HTTP/1.0 has no Transfer-Encoding';
  }
  if ((headers.expect ?? KNOWN_EXPECTATION).toLowerCase() !== KNOWN_EXPECTATION) {
    return 'its Expect header is not known';
  }
  return findHostFault(head);
}
