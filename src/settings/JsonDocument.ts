import {
  createScanner,
  findNodeAtLocation,
  getNodeValue,
  type Node,
  type ParseError,
  parseTree,
  printParseErrorCode,
} from 'jsonc-parser';
import { LineIndex } from './LineIndex.js';
import { MAX_PROBLEM_COUNT, type SettingsProblem } from './SettingsProblem.js';

const BYTE_ORDER_MARK = '\uFEFF';
const MAX_DEPTH = 64;
const MAX_SHOWN_LENGTH = 60;
const OPENING_CHARACTERS = '{[';
const CLOSING_CHARACTERS = '}]';
/** Key that JavaScript objects treat as their prototype, so that a check would pass over it. */
const PROTOTYPE_KEY = '__proto__';

const EXPECTED_BY_SYNTAX_ERROR: Readonly<Record<string, string>> = {
  InvalidSymbol: 'a JSON value, in double quotes where it is text',
  InvalidNumberFormat: 'a JSON number',
  PropertyNameExpected: 'a key in double quotes',
  ValueExpected: 'a value',
  ColonExpected: 'a colon after the key',
  CommaExpected: 'a comma or the end of the list or object',
  CloseBraceExpected: 'a closing brace "}"',
  CloseBracketExpected: 'a closing bracket "]"',
  EndOfFileExpected: 'the end of the document',
  InvalidCommentToken: 'a comment that begins with // or /*',
  UnexpectedEndOfComment: 'the end of the comment "*/"',
  UnexpectedEndOfString: 'the closing double quote of the text',
  UnexpectedEndOfNumber: 'the rest of the number',
  InvalidUnicode: 'four hexadecimal digits after \\u',
  InvalidEscapeCharacter: 'one of the escapes \\" \\\\ \\/ \\b \\f \\n \\r \\t \\u',
  InvalidCharacter: 'text without control characters',
};

/** What a problem says besides its place. */
export interface ProblemText {
  readonly expected: string;
  readonly found: string;
  readonly severity?: SettingsProblem['severity'];
}

/** One key of an object and the place where it stands. */
interface KeyPlace {
  readonly path: readonly PropertyKey[];
  readonly node: Node;
}

/** Options of {@link JsonDocument}. */
export interface JsonDocumentOptions {
  readonly text: string;
  /** Name to show with problems. */
  readonly fileName: string;
}

/** A text of JSON with comments that knows the line and column of each of its values. */
export class JsonDocument {
  /** Problems of syntax, excessive depth and keys that cannot stand. */
  readonly problems: readonly SettingsProblem[];

  /** Whether the syntax is right, so that `value` is what was written. */
  readonly isWellFormed: boolean;

  private readonly text: string;

  private readonly fileName: string;

  private readonly lines: LineIndex;

  private readonly root: Node | undefined;

  /**
   * Reads a document; what is wrong with it is found in `problems`.
   * @param options - Text and file name.
   */
  constructor(options: JsonDocumentOptions) {
    this.text = options.text.startsWith(BYTE_ORDER_MARK) ? options.text.slice(1) : options.text;
    this.fileName = options.fileName;
    this.lines = new LineIndex(this.text);
    const deepOffset = this.findTooDeepOffset();
    if (deepOffset !== undefined) {
      this.isWellFormed = false;
      this.problems = [this.describeDepth(deepOffset)];
      return;
    }
    const errors: ParseError[] = [];
    this.root = parseTree(this.text, errors, { allowTrailingComma: true });
    this.isWellFormed = errors.length === 0;
    this.problems = this.isWellFormed
      ? this.findBadKeys(this.root, []).slice(0, MAX_PROBLEM_COUNT)
      : this.describeSyntaxErrors(errors);
  }

  /** Value of the document; undefined where it could not be read. */
  get value(): unknown {
    return this.root && getNodeValue(this.root);
  }

  /**
   * States a problem at a value.
   * @param path - Keys and indexes that lead to the value.
   * @param text - What was expected and what was found.
   * @returns The problem, placed at the nearest value around it where the value is missing.
   */
  problemAtValue(path: readonly PropertyKey[], text: ProblemText): SettingsProblem {
    return this.problemAt(this.findNearestNode(path)?.offset ?? 0, path, text);
  }

  /**
   * States a problem at a key.
   * @param path - Keys and indexes that lead to the key, with the key itself.
   * @param text - What was expected and what was found.
   * @returns The problem.
   */
  problemAtKey(path: readonly PropertyKey[], text: ProblemText): SettingsProblem {
    const property = this.findNode(path)?.parent;
    return property?.type === 'property'
      ? this.problemAt(property.offset, path, text)
      : this.problemAtValue(path, text);
  }

  /**
   * Shows what stands at a path.
   * @param path - Keys and indexes that lead to the value.
   * @returns The value as written, shortened; `nothing` where it is missing.
   */
  showValue(path: readonly PropertyKey[]): string {
    const node = this.findNode(path);
    if (!node) return 'nothing';
    if (node.type === 'object') return node.children?.length ? 'an object' : 'an empty object';
    if (node.type === 'array') return node.children?.length ? 'a list' : 'an empty list';
    return this.showText(node.offset, node.length);
  }

  private problemAt(
    offset: number,
    path: readonly PropertyKey[],
    text: ProblemText,
  ): SettingsProblem {
    return {
      severity: text.severity ?? 'error',
      file: this.fileName,
      ...this.lines.locate(offset),
      path: path.map(String).join('.'),
      expected: text.expected,
      found: text.found,
    };
  }

  private showText(offset: number, length: number): string {
    const shown = this.text.slice(offset, offset + Math.min(length, MAX_SHOWN_LENGTH));
    const [firstLine = ''] = shown.split(/\r?\n/);
    return firstLine.length < length ? `${firstLine.trimEnd()}…` : firstLine;
  }

  private findNode(path: readonly PropertyKey[]): Node | undefined {
    return this.root && findNodeAtLocation(this.root, path as (string | number)[]);
  }

  private findNearestNode(path: readonly PropertyKey[]): Node | undefined {
    const node = this.findNode(path);
    return node || path.length === 0 ? node : this.findNearestNode(path.slice(0, -1));
  }

  /**
   * Finds where nesting passes the limit. The failure: thousands of opening brackets overflow the
   * stack of the recursive parser, which shows as a RangeError in every instance that reads the
   * document from the log. The scanner here is flat, so the document is refused before parsing.
   */
  private findTooDeepOffset(): number | undefined {
    const scanner = createScanner(this.text, true);
    let depth = 0;
    while (scanner.getPosition() < this.text.length) {
      scanner.scan();
      depth += this.getDepthChange(scanner.getTokenOffset(), scanner.getTokenLength());
      if (depth > MAX_DEPTH) return scanner.getTokenOffset();
    }
    return undefined;
  }

  /** Tells how a token changes the depth; a text token is never one character long. */
  private getDepthChange(offset: number, length: number): number {
    if (length !== 1) return 0;
    const character = this.text[offset]!;
    if (OPENING_CHARACTERS.includes(character)) return 1;
    return CLOSING_CHARACTERS.includes(character) ? -1 : 0;
  }

  private describeDepth(offset: number): SettingsProblem {
    return this.problemAt(offset, [], {
      expected: `at most ${MAX_DEPTH} levels of nesting`,
      found: 'one more',
    });
  }

  /** Describes the first error of each line; those after it on the line are its echoes. */
  private describeSyntaxErrors(errors: readonly ParseError[]): readonly SettingsProblem[] {
    const problems = errors.slice(0, MAX_PROBLEM_COUNT).map((error) =>
      this.problemAt(error.offset, [], {
        expected: EXPECTED_BY_SYNTAX_ERROR[printParseErrorCode(error.error)] ?? 'JSON',
        found:
          error.offset >= this.text.trimEnd().length
            ? 'the end of the document'
            : this.showText(error.offset, error.length),
      }),
    );
    return problems.filter(
      (problem, index) => problems.findIndex(({ line }) => line === problem.line) === index,
    );
  }

  private findBadKeys(
    node: Node | undefined,
    path: readonly PropertyKey[],
  ): readonly SettingsProblem[] {
    const children = node?.children ?? [];
    if (node?.type === 'array') {
      return children.flatMap((child, index) => this.findBadKeys(child, [...path, index]));
    }
    if (node?.type !== 'object') return [];
    const keys: readonly KeyPlace[] = children.map((property) => ({
      path: [...path, property.children![0]!.value as string],
      node: property,
    }));
    const firstNodes = new Map(keys.toReversed().map((key) => [key.path.at(-1), key.node]));
    const repeated = keys.filter((key) => firstNodes.get(key.path.at(-1)) !== key.node);
    return [
      ...repeated.map((key) => this.describeRepeatedKey(key)),
      ...keys
        .filter((key) => key.path.at(-1) === PROTOTYPE_KEY)
        .map((key) => this.describePrototypeKey(key)),
      ...keys.flatMap((key) => this.findBadKeys(key.node.children?.[1], key.path)),
    ];
  }

  private describeRepeatedKey(key: KeyPlace): SettingsProblem {
    return this.problemAt(key.node.offset, key.path, {
      expected: 'each key once',
      found: `the key "${String(key.path.at(-1))}" again`,
    });
  }

  private describePrototypeKey(key: KeyPlace): SettingsProblem {
    return this.problemAt(key.node.offset, key.path, {
      expected: 'another key, as this one is reserved',
      found: `the key "${PROTOTYPE_KEY}"`,
    });
  }
}
