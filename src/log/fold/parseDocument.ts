import { type ParseError, parse, printParseErrorCode } from 'jsonc-parser';
import { type TeamSettings, teamSettingsSchema } from '../../settings/index.js';

/** Outcome of reading a settings document. */
export type ParsedDocument =
  | { readonly type: 'valid'; readonly settings: TeamSettings }
  | { readonly type: 'invalid'; readonly reason: string };

/**
 * Reads a settings document.
 * @param document - JSON with comments.
 * @returns The settings, or the first error with its place.
 */
export function parseDocument(document: string): ParsedDocument {
  const errors: ParseError[] = [];
  const value: unknown = parse(document, errors, { allowTrailingComma: true });
  const [error] = errors;
  if (error !== undefined) {
    const reason = `offset ${error.offset}: ${printParseErrorCode(error.error)}`;
    return { type: 'invalid', reason };
  }
  const parsed = teamSettingsSchema.safeParse(value);
  if (parsed.success) return { type: 'valid', settings: parsed.data };
  const issue = parsed.error.issues[0]!;
  return { type: 'invalid', reason: `${issue.path.join('.')}: ${issue.message}` };
}
