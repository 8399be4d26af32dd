import { configs, plugins } from 'eslint-config-airbnb-extended';

export default [
  { ignores: ['dist', 'target', 'node_modules', 'coverage', 'journal'] },
  plugins.stylistic,
  plugins.importX,
  plugins.node,
  plugins.typescriptEslint,
  ...configs.base.recommended,
  ...configs.base.typescript,
  {
    files: ['**/*.cjs'],
    languageOptions: { globals: { __dirname: 'readonly', process: 'readonly' } },
  },
  {
    files: ['**/*.ts'],
    languageOptions: { parserOptions: { projectService: true, tsconfigRootDir: import.meta.dirname } },
    rules: {
      '@typescript-eslint/switch-exhaustiveness-check': 'error',
      '@typescript-eslint/no-floating-promises': 'error',
    },
  },
  {
    rules: {
      'import-x/extensions': ['error', 'always', { ignorePackages: true }],
      // Tests, benches and scripts may import development dependencies.
      'import-x/no-extraneous-dependencies': ['error', { devDependencies: ['test/**', 'scripts/**', 'src/bench/**', 'src/demo/**', 'src/scenario/**', '*.config.*'] }],
      'import-x/prefer-default-export': 'off',
      // Tasks for a connection or a peer are written as sequential loops.
      'no-await-in-loop': 'off',
      // State objects are private to the module that changes them; copies for each change would cost the hot paths.
      'no-param-reassign': ['error', { props: false }],
      'no-continue': 'off',
      'no-restricted-syntax': ['error', 'ForInStatement', 'LabeledStatement', 'WithStatement'],
      'no-constant-condition': ['error', { checkLoops: false }],
      'no-underscore-dangle': 'off',
      'class-methods-use-this': 'off',
      'no-plusplus': 'off',
      // A union type starts on the line after its name.
      '@stylistic/operator-linebreak': ['error', 'before', { overrides: { '=': 'ignore' } }],
      'no-void': ['error', { allowAsStatement: true }],
      'max-classes-per-file': 'off',
      '@stylistic/max-len': ['error', {
        code: 120, ignoreUrls: true, ignoreStrings: true, ignoreTemplateLiterals: true, ignoreRegExpLiterals: true,
      }],
    },
  },
];
