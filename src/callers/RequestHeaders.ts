import { throwError } from '../errors/index.js';
import { CALLER_HEADERS } from './callerHeaders.js';

const OWN_PREFIX = 'rattanlift-';
const OWN_NAMES: ReadonlySet<string> = new Set(
  Object.values(CALLER_HEADERS).map((name) => name.toLowerCase()),
);

/**
 * Headers of a request as they arrived, before the HTTP library joins or drops repeated ones.
 * @internal
 */
export class RequestHeaders {
  private readonly values = new Map<string, readonly string[]>();

  /**
   * Reads the headers.
   * @param rawHeaders - Names and values in turn, as Node.js gives them.
   */
  constructor(rawHeaders: readonly string[]) {
    rawHeaders.forEach((name, index) => {
      if (index % 2 === 1) return;
      const key = name.toLowerCase();
      this.values.set(key, [...(this.values.get(key) ?? []), rawHeaders[index + 1] ?? '']);
    });
  }

  /**
   * Gets the value of a header that may come once.
   * @param name - Name of the header, in any case.
   * @returns The value, or undefined where the header is absent.
   * @throws RattanliftError Of kind `bad-request` where it comes more than once.
   */
  get(name: string): string | undefined {
    const values = this.values.get(name.toLowerCase()) ?? [];
    if (values.length > 1) {
      throwError('bad-request', `The header ${name} comes ${values.length} times.`, {
        field: name,
      });
    }
    return values[0];
  }

  /**
   * Guards against a misspelt header of ours that would be passed over in silence: a page save
   * whose `Rattanlift-Non-Idempotant: true` is ignored could run twice.
   * @throws RattanliftError Of kind `bad-request` with the unknown header.
   */
  checkOwnNames(): void {
    const unknown = [...this.values.keys()].find(
      (name) => name.startsWith(OWN_PREFIX) && !OWN_NAMES.has(name),
    );
    if (unknown === undefined) return;
    const known = Object.values(CALLER_HEADERS).join(', ');
    throwError('bad-request', `There is no header ${unknown}; there are ${known}.`, {
      field: unknown,
    });
  }
}
