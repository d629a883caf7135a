import { configs, plugins } from 'eslint-config-airbnb-extended';

const LAYOUT_PREFIX = '@stylistic/';
const MAX_LINE_LENGTH = 100;

/** Drops the layout rules of a config: Prettier, set to the same style guide, owns layout. */
const withoutLayout = (config) => ({
  ...config,
  rules: Object.fromEntries(
    Object.entries(config.rules ?? {}).filter(([name]) => !name.startsWith(LAYOUT_PREFIX)),
  ),
});

export default [
  { ignores: ['dist/**', 'target/**', 'journal/**', 'node_modules/**', 'reports/**'] },
  plugins.stylistic,
  plugins.importX,
  plugins.node,
  plugins.typescriptEslint,
  ...[...configs.base.recommended, ...configs.base.typescript].map(withoutLayout),
  {
    rules: {
      '@stylistic/max-len': [
        'error',
        {
          code: MAX_LINE_LENGTH,
          ignoreUrls: true,
          ignoreStrings: true,
          ignoreTemplateLiterals: true,
        },
      ],
      'no-console': 'error',
      // Named exports throughout: each folder's index.ts says what is public (docs/DESIGN.md).
      'import-x/prefer-default-export': 'off',
      // NodeNext resolution requires the `.js` suffix on relative imports.
      'import-x/extensions': 'off',
      'no-void': ['error', { allowAsStatement: true }],
    },
  },
  {
    files: ['bench/**', 'standins/**', 'src/cli/**', 'scripts/**', '.ci/**'],
    rules: { 'no-console': 'off' },
  },
  {
    files: ['tests/**', '*.ts', '*.js', 'scripts/**', '.ci/**', 'bench/**', 'standins/**'],
    rules: { 'import-x/no-extraneous-dependencies': 'off' },
  },
  {
    files: ['.ci/**', 'scripts/**'],
    languageOptions: { globals: { process: 'readonly', console: 'readonly' } },
  },
];
