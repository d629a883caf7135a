const SECTION = /\{\{([#^])([\w.]+)\}\}([\s\S]*?)\{\{\/\2\}\}/g;
const VALUE = /\{\{([\w.]+)(\|json)?\}\}/g;

function find(path, fields) {
  return path.split('.').reduce((value, name) => value?.[name], fields);
}

function isPresent(value) {
  return Array.isArray(value) ? value.length > 0 : value !== undefined && value !== false;
}

function renderEntry(text, entry, isLast) {
  return text.replaceAll('{{.}}', String(entry)).replaceAll('{{,}}', isLast ? '' : ',');
}

function renderSection(kind, value, text) {
  if (kind === '^') return isPresent(value) ? '' : text;
  if (!isPresent(value)) return '';
  if (!Array.isArray(value)) return text;
  return value.map((entry, index) => renderEntry(text, entry, index === value.length - 1)).join('');
}

/** Fills in a template of settings, as far as `deploy/settings.jsonc` uses its language. */
export function renderTemplate(template, fields) {
  return template
    .replaceAll(SECTION, (_all, kind, path, text) => renderSection(kind, find(path, fields), text))
    .replaceAll(VALUE, (_all, path, isJson) => {
      const value = find(path, fields);
      return isJson ? JSON.stringify(value) : String(value ?? '');
    });
}
