const LINE_END = /\n/g;

/** Place of a character for people, both counted from 1. */
export interface TextPlace {
  readonly line: number;
  /** Column in UTF-16 units. */
  readonly column: number;
}

/** Index of a text's lines, which finds the place of an offset without reading the text again. */
export class LineIndex {
  private readonly lineStarts: readonly number[];

  /**
   * Reads where the lines begin.
   * @param text - The text.
   */
  constructor(text: string) {
    const lineEnds = Array.from(text.matchAll(LINE_END), ({ index }) => index);
    this.lineStarts = [0].concat(lineEnds.map((index) => index + 1));
  }

  /**
   * Finds the place of an offset.
   * @param offset - Offset in UTF-16 units.
   * @returns Its line and column.
   */
  locate(offset: number): TextPlace {
    let line = 1;
    let endLine = this.lineStarts.length;
    while (line < endLine) {
      const middleLine = Math.ceil((line + endLine) / 2);
      if (this.lineStarts[middleLine - 1]! <= offset) line = middleLine;
      else endLine = middleLine - 1;
    }
    return { line, column: offset - this.lineStarts[line - 1]! + 1 };
  }
}
