import { z } from 'zod';

/** Schema inside wrappers that change neither keys nor structure, such as a default. */
function unwrap(schema: z.core.$ZodType): z.core.$ZodType {
  if (
    schema instanceof z.ZodReadonly ||
    schema instanceof z.ZodDefault ||
    schema instanceof z.ZodPrefault ||
    schema instanceof z.ZodOptional ||
    schema instanceof z.ZodNullable
  ) {
    return unwrap(schema.def.innerType);
  }
  return schema;
}

/** Schema of one member, where the structure says what it is. */
function getMember(schema: z.core.$ZodType | undefined, key: PropertyKey) {
  const inner = schema && unwrap(schema);
  if (inner instanceof z.ZodObject) return inner.def.shape[String(key)];
  if (inner instanceof z.ZodRecord) return inner.def.valueType;
  if (inner instanceof z.ZodArray) return inner.def.element;
  return undefined;
}

/**
 * Lists the keys that a schema knows at a path.
 * @param schema - Schema of the whole document.
 * @param path - Keys and indexes that lead to the object.
 * @returns The keys; none where the schema has no fixed ones there.
 */
export function getKnownKeys(
  schema: z.core.$ZodType,
  path: readonly PropertyKey[],
): readonly string[] {
  const member = path.reduce<z.core.$ZodType | undefined>(getMember, schema);
  const inner = member && unwrap(member);
  return inner instanceof z.ZodObject ? Object.keys(inner.def.shape) : [];
}
