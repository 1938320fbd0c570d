import type { AnswerHead, CallerExchange } from "../caller-exchange.js";
import { EventSplitter } from "./event-splitter.js";

/** How the passing of one target's stream ended. */
export type PassResult =
    | { readonly kind: "complete"; }
    /** The stream broke off; what was passed on ends at a whole event. */
    | { readonly kind: "cut"; readonly cause: string; }
    /** The events do not go on where the earlier ones ended. */
    | { readonly kind: "out_of_order"; };

/** Passes the events of one request's stream to its caller, from one target or from several after each other. */
export class StreamPass {
    private started = false;
    private isFramed = false;
    private lastId: number | undefined;
    private events = 0;

    constructor(private readonly caller: CallerExchange, afterEvent: number | undefined) {
        this.lastId = afterEvent;
    }

    /** Whether the caller has got the head. */
    get isStarted(): boolean {
        return this.started;
    }

    /** Events passed on. */
    get eventCount(): number {
        return this.events;
    }

    /** Id of the last event that the caller has. */
    get lastEventId(): number | undefined {
        return this.lastId;
    }

    /** Passes events on as they come; the head goes out with the first one. */
    async pass(head: AnswerHead, body: AsyncIterable<Buffer>): Promise<PassResult> {
        const splitter = new EventSplitter();
        try {
            for await (const chunk of body) {
                const { bytes, count, ids } = splitter.push(chunk);
                if (count === 0) {
                    continue;
                }
                if (!this.takeIds(ids)) {
                    return { kind: "out_of_order" };
                }
                this.events += count;
                this.start(head);
                this.caller.sendEvents(bytes);
            }
        }
        catch (err) {
            return { kind: "cut", cause: err instanceof Error ? err.message : String(err) };
        }
        if (splitter.pendingBytes > 0) {
            return { kind: "cut", cause: "the stream ends within an event" };
        }
        if (this.started && this.isFramed && !head.isFramed) {
            return { kind: "cut", cause: "the end of a stream without a length cannot be told from a cut" };
        }
        this.start(head);
        return { kind: "complete" };
    }

    private start(head: AnswerHead): void {
        if (!this.started) {
            this.started = true;
            this.isFramed = head.isFramed;
            this.caller.startStream(head);
        }
    }

    /** Whether the ids go on from those before. */
    private takeIds(ids: readonly number[]): boolean {
        return ids.every(id => {
            const follows = this.lastId === undefined || id > this.lastId;
            this.lastId = id;
            return follows;
        });
    }
}
