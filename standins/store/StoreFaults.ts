/** What goes wrong at the stand-in of the platform's store; each fault lasts until it is lifted. */
export interface StoreFaults {
  /** Every call is refused, and nothing is done. */
  rejects: boolean;
  /** No call is answered, and nothing is done. */
  isSilent: boolean;
  /** Appends are done, and their answers are lost. */
  losesAnswers: boolean;
}
