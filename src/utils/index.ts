export { assertNever } from './assertNever.js';
