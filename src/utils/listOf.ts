import { z } from 'zod';

/**
 * Creates the schema of a list that others write.
 *
 * Guards against a list that is wrong in each of 100,000 places, as an array of zod tells of all of
 * them: it would hold its reader up for seconds, and its reason would take megabytes.
 * @param item - Schema of an item.
 * @returns The schema, which tells of the first wrong item alone.
 */
export function listOf<Item extends z.ZodType>(item: Item): z.ZodType<z.output<Item>[]> {
  return z.array(z.unknown()).transform((values, { issues }) => {
    const items: z.output<Item>[] = [];
    const isWhole = values.every((input, index) => {
      const result = item.safeParse(input);
      if (result.success) items.push(result.data);
      else {
        result.error.issues.forEach(({ path, message }) =>
          issues.push({ code: 'custom', input, path: [index, ...path], message }),
        );
      }
      return result.success;
    });
    return isWhole ? items : z.NEVER;
  });
}
