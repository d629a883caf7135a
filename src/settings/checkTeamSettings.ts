import { checkPool } from './checkPool.js';
import type { JsonDocument } from './JsonDocument.js';
import { parseJsonWithComments } from './parseJsonWithComments.js';
import type { ParsedDocument, SettingsProblem } from './SettingsProblem.js';
import { type TeamSettings, teamSettingsSchema } from './TeamSettings.js';

/** Options of {@link checkTeamSettings}. */
export interface TeamCheckOptions {
  /** Team whose subtree the document may set; any team where it is absent. */
  readonly team?: string;
}

/** Checks that the document speaks of its own team. */
function checkTeam(
  settings: TeamSettings,
  document: JsonDocument,
  team: string | undefined,
): readonly SettingsProblem[] {
  if (team === undefined || settings.team === team) return [];
  const found = document.showValue(['team']);
  return [document.problemAtValue(['team'], { expected: `"${team}", the own team`, found })];
}

/**
 * Checks a team's settings, the same way in the command line and in every instance.
 * @param text - Document as the operator wrote it.
 * @param fileName - Name to show with problems.
 * @param options - Team that the document has to be of.
 * @returns The settings with warnings, or every problem that was found.
 */
export function checkTeamSettings(
  text: string,
  fileName: string,
  options: TeamCheckOptions = {},
): ParsedDocument<TeamSettings> {
  return parseJsonWithComments({
    text,
    fileName,
    schema: teamSettingsSchema,
    crossCheck: (settings, document) => [
      ...checkTeam(settings, document, options.team),
      ...Object.entries(settings.pools).flatMap(([name, pool]) =>
        checkPool(document, settings.team, name, pool),
      ),
    ],
  });
}
