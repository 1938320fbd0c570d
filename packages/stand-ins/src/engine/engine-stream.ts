import { EventEmitter, once } from "node:events";
import type { CompletionRequest } from "./completion-request.js";
import { type ExpectedAnswer, getExpectedAnswer } from "./expected-answer.js";

/** State of one run. */
export type EngineStreamState = "queued" | "running" | "done" | "cancelled";

/** What the engine tells of one run. */
export interface EngineStreamRecord {
    readonly id: string;
    readonly state: EngineStreamState;
    readonly promptTokens: number;
    readonly completionTokens: number;
}

/** One run of the engine; it goes on whether or not anybody reads it. */
export class EngineStream {
    readonly answer: ExpectedAnswer;
    private currentState: EngineStreamState = "queued";
    private emitted = 0;
    private readonly changes = new EventEmitter();

    constructor(readonly id: string, readonly req: CompletionRequest, readonly fingerprint: string) {
        this.answer = getExpectedAnswer(req.prompt, req.maxTokens);
        this.changes.setMaxListeners(0);
    }

    get state(): EngineStreamState {
        return this.currentState;
    }

    get ended(): boolean {
        return this.currentState === "done" || this.currentState === "cancelled";
    }

    /** Tokens produced so far. */
    get produced(): number {
        return this.emitted;
    }

    /** Marks the run as part of the batch. */
    start(): void {
        this.move("running");
    }

    /** Produces one more token; the run is done after the last one. */
    produce(): void {
        if (!this.ended && this.emitted < this.answer.completionTokens) {
            this.emitted += 1;
        }
        this.move(this.emitted >= this.answer.completionTokens ? "done" : "running");
    }

    /** Ends the run with the tokens that it has. */
    cancel(): void {
        this.move("cancelled");
    }

    /** Resolves at the next token or change of state; at once for an ended run. */
    async waitForChange(signal: AbortSignal): Promise<void> {
        if (!this.ended) {
            await once(this.changes, "change", { signal });
        }
    }

    /** Resolves once the run has ended. */
    async waitForEnd(signal: AbortSignal): Promise<void> {
        while (!this.ended) {
            await this.waitForChange(signal);
        }
    }

    /** The engine's own account of the run. */
    toRecord(): EngineStreamRecord {
        return {
            id: this.id,
            state: this.currentState,
            promptTokens: this.answer.promptTokens,
            completionTokens: this.emitted,
        };
    }

    private move(state: EngineStreamState): void {
        if (!this.ended) {
            this.currentState = state;
            this.changes.emit("change");
        }
    }
}
