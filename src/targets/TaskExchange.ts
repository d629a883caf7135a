import { Readable } from 'node:stream';
import type { Dispatcher } from 'undici';
import type { IncomingHttpHeaders } from 'undici/types/header.js';
import { RattanliftError } from '../errors/index.js';
import { assertNever } from '../utils/index.js';
import type { TaskResult } from './TargetPort.js';
import { TASK_HEADERS, TASK_OUTCOMES } from './taskHeaders.js';

type Controller = Dispatcher.DispatchController;

const HTTP_FIRST_FINAL_STATUS = 200;
const HTTP_NO_CONTENT = 204;
const HTTP_NOT_MODIFIED = 304;
const HTTP_UNAVAILABLE = 503;

/** Options of {@link TaskExchange}. */
export interface TaskExchangeOptions {
  /** Longest wait for a connection, in milliseconds. */
  readonly connectTimeoutMs: number;
  /** Longest silence of the target after the request may have been sent, in milliseconds. */
  readonly silenceLimitMs: number;
  /** Called once when the connect timeout or the silence limit expires. */
  readonly onSilent: () => void;
  /** Called once when the exchange has ended. */
  readonly onEnded: () => void;
}

/**
 * State of an exchange: no byte of the request has been sent, some may have been sent, the answer
 * has begun, the rest of the answer is discarded, or the exchange has ended.
 */
type Phase = 'connecting' | 'sent' | 'answering' | 'skipping' | 'ended';

/**
 * Request and answer of one task. It tracks whether the task may have started.
 * @internal
 */
export class TaskExchange implements Dispatcher.DispatchHandler {
  /** Result of the attempt; the promise never rejects. */
  readonly result: Promise<TaskResult>;

  private readonly options: TaskExchangeOptions;

  private readonly settle: (result: TaskResult) => void;

  private phase: Phase = 'connecting';

  private controller: Controller | undefined;

  private body: Readable | undefined;

  private isCloseDelimited = false;

  private timer: NodeJS.Timeout | undefined;

  /**
   * Creates an exchange that waits for its connection.
   * @param options - Limits and callbacks.
   */
  constructor(options: TaskExchangeOptions) {
    this.options = options;
    let settle: (result: TaskResult) => void = () => undefined;
    this.result = new Promise((resolve) => {
      settle = resolve;
    });
    this.settle = settle;
    this.watch(options.connectTimeoutMs);
  }

  /**
   * Cancels the exchange on behalf of its caller.
   * @returns Whether the request may have been sent, in which case the task has to be stopped.
   */
  cancel(): boolean {
    const mayRun = this.phase === 'sent' || this.phase === 'answering';
    this.abort('cancelled', 'The request was cancelled.');
    return mayRun;
  }

  /**
   * Called by undici immediately before it writes the request.
   * @param controller - Control over the request.
   */
  onRequestStart(controller: Controller): void {
    // undici calls this again when it is about to retry a request on its own. A request that was
    // cancelled or already sent must not be sent (again). An abort at this point prevents any byte
    // from being sent, so `not-started` is correct for a cancelled request.
    if (this.phase !== 'connecting') {
      this.fail('connection-lost', 'The connection was lost.');
      controller.abort(new Error('The request was cancelled or has already been sent.'));
      return;
    }
    this.controller = controller;
    this.phase = 'sent';
    this.watch(this.options.silenceLimitMs);
  }

  /**
   * Receives the head of a final answer, or of an interim one, which only restarts the timer.
   * @param _controller - Control over the request.
   * @param httpStatus - Status of the answer.
   * @param headers - Headers of the answer.
   */
  onResponseStart(_controller: Controller, httpStatus: number, headers: IncomingHttpHeaders): void {
    if (this.phase !== 'sent') return;
    this.watch(this.options.silenceLimitMs);
    if (httpStatus < HTTP_FIRST_FINAL_STATUS) return;
    const outcome = headers[TASK_HEADERS.outcome];
    if (httpStatus === HTTP_UNAVAILABLE && outcome === TASK_OUTCOMES.notStarted) {
      this.phase = 'skipping';
      const reason = String(headers[TASK_HEADERS.reason] ?? 'the target refused the task');
      this.settle({ type: 'not-started', reason });
      return;
    }
    if (outcome === TASK_OUTCOMES.stopped) {
      this.phase = 'skipping';
      this.settle({ type: 'unknown', reason: 'cancelled' });
      return;
    }
    this.beginAnswer(httpStatus, headers);
  }

  /**
   * Receives a chunk of the answer.
   * @param controller - Control over the request.
   * @param chunk - The chunk.
   */
  onResponseData(controller: Controller, chunk: Buffer): void {
    this.watch(this.options.silenceLimitMs);
    if (this.phase !== 'answering') return;
    if (this.body!.push(chunk)) return;
    // A slow reader is not a silent target, so the timer stops until the reader continues.
    clearTimeout(this.timer);
    controller.pause();
  }

  /** Called by undici when the answer has ended. */
  onResponseEnd(): void {
    if (this.phase === 'answering' && this.isCloseDelimited) {
      // Guards against an answer truncated by a failing target or middlebox. Without a declared
      // length, truncation looks like a normal end, so such an answer never counts as complete.
      this.fail('connection-lost', 'The answer ended without a declared length.');
      return;
    }
    if (this.phase === 'answering') this.body!.push(null);
    this.end();
  }

  /**
   * Called by undici when the exchange has failed.
   * @param _controller - Control over the request.
   * @param error - The cause.
   */
  onResponseError(_controller: Controller | undefined, error: Error): void {
    this.fail('connection-lost', error.message);
  }

  private beginAnswer(httpStatus: number, headers: IncomingHttpHeaders): void {
    const hasBody = httpStatus !== HTTP_NO_CONTENT && httpStatus !== HTTP_NOT_MODIFIED;
    this.isCloseDelimited =
      hasBody &&
      headers['content-length'] === undefined &&
      headers['transfer-encoding'] === undefined;
    this.phase = 'answering';
    const body = new Readable({
      read: () => this.resumeReading(),
      destroy: (error, done) => {
        this.onBodyDestroyed();
        done(error);
      },
    });
    // An answer may fail before its reader listens; the stream keeps the error for the reader.
    body.on('error', () => undefined);
    this.body = body;
    const contentType = String(headers['content-type'] ?? 'application/octet-stream');
    this.settle({ type: 'answering', httpStatus, contentType, body });
  }

  private resumeReading(): void {
    if (this.phase !== 'answering' || !this.controller?.paused) return;
    this.watch(this.options.silenceLimitMs);
    this.controller.resume();
  }

  private watch(limitMs: number): void {
    clearTimeout(this.timer);
    if (this.phase === 'ended') return;
    this.timer = setTimeout(() => this.onTimeout(limitMs), limitMs);
  }

  private onTimeout(limitMs: number): void {
    const { onSilent } = this.options;
    this.abort('silent', `The target was silent for ${limitMs} ms.`);
    onSilent();
  }

  private abort(reason: 'silent' | 'cancelled', message: string): void {
    const { controller } = this;
    this.fail(reason, message);
    controller?.abort(new Error(message));
  }

  private fail(reason: 'silent' | 'connection-lost' | 'cancelled', message: string): void {
    const { phase, body } = this;
    this.end();
    switch (phase) {
      case 'connecting':
        this.settle({ type: 'not-started', reason: message });
        break;
      case 'sent':
        this.settle({ type: 'unknown', reason });
        break;
      case 'answering':
        body!.destroy(new RattanliftError({ kind: 'answer-cut', message }));
        break;
      case 'skipping':
      case 'ended':
        break;
      default:
        assertNever(phase);
    }
  }

  /** Aborts the exchange when the reader has closed the body. */
  private onBodyDestroyed(): void {
    if (this.phase !== 'answering') return;
    const { controller } = this;
    this.end();
    controller?.abort(new Error('The reader of the answer closed the body.'));
  }

  private end(): void {
    clearTimeout(this.timer);
    if (this.phase === 'ended') return;
    this.phase = 'ended';
    this.options.onEnded();
  }
}
