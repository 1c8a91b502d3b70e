import { configs, extensions, plugins } from 'eslint-config-airbnb-extended';

const RELAXED = {
  // A file may hold several small classes that belong together.
  'max-classes-per-file': 'off',
  // Named exports are the house's way; NodeNext needs the extension that is emitted.
  'import-x/prefer-default-export': 'off',
  'import-x/extensions': 'off',
  // A schema and the type it checks share one name, the second a type.
  '@typescript-eslint/no-redeclare': 'off',
  // Function declarations are hoisted: files read from the public part down.
  '@typescript-eslint/no-use-before-define': [
    'error',
    { functions: false, classes: false, variables: false },
  ],
  // Loops over iterators and streams have no plainer form.
  'no-restricted-syntax': 'off',
  'no-await-in-loop': 'off',
  'import-x/no-rename-default': 'off',
};

const LAYERS = ['state', 'coordination', 'protocol', 'transport', 'bin'];

/** Forbids imports of the layers above. */
const layerRules = LAYERS.map((layer, i) => ({
  files: [`src/${layer}/**/*.ts`],
  rules: {
    'no-restricted-imports': [
      'error',
      {
        patterns: [
          ...LAYERS.slice(i + 1).map((above) => ({
            group: [`**/${above}/**`],
            message: 'imports go downwards',
          })),
          ...(layer === 'bin'
            ? []
            : [{ group: ['**/platform/**'], message: 'only programs choose a platform' }]),
        ],
      },
    ],
  },
}));

/** Decisions get the time and random numbers passed in, and do no I/O. */
const PURE = {
  files: ['src/state/**/*.ts', 'src/coordination/**/*.ts'],
  ignores: ['**/tests/**'],
  rules: {
    'no-restricted-properties': [
      'error',
      { object: 'Date', property: 'now' },
      { object: 'Math', property: 'random' },
      { object: 'performance', property: 'now' },
    ],
    'no-restricted-globals': ['error', 'setTimeout', 'setInterval', 'fetch', 'process'],
  },
};

export default [
  { ignores: ['dist/', 'target/', 'coverage/', 'src/protocol/gen/'] },
  plugins.stylistic,
  plugins.importX,
  plugins.node,
  plugins.typescriptEslint,
  ...extensions.base.typescript,
  ...configs.base.typescript,
  { rules: RELAXED },
  {
    files: ['**/tests/**', 'bench/**', 'soak/**', 'standins/**'],
    rules: {
      'import-x/no-extraneous-dependencies': 'off',
      '@typescript-eslint/no-unused-expressions': 'off',
    },
  },
  {
    files: ['src/bin/**', 'standins/bin/**', 'bench/**', 'soak/**'],
    rules: { 'n/no-process-exit': 'off', 'no-console': 'off' },
  },
  ...layerRules,
  PURE,
];
