/** Whose call a request is, as its entry has found out from the key. */
export interface CallerIdentity {
  readonly organisation: string;
  /** SHA-256 digest of the key, in hexadecimal digits. */
  readonly keyDigest: string;
  /** Version of the configuration by which the key was checked. */
  readonly configurationVersion: number;
}
