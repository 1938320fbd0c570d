import type { CallerExchange, ResponseHead } from "../caller-exchange.js";
import { isEventStream } from "../http/response-status.js";
import type { HeldMessage } from "../message-memory.js";
import { EventSplitter } from "./event-splitter.js";

/** Outcome of relaying one target's stream. */
export type StreamRelayResult =
    | { readonly kind: "complete"; }
    /** The stream was interrupted; the relayed part ends with a complete event. */
    | { readonly kind: "cut"; readonly cause: string; }
    /** The events do not continue after the earlier ones. */
    | { readonly kind: "out_of_order"; };

/** Options of {@link StreamRelay}. */
export interface StreamRelayOptions {
    readonly caller: CallerExchange;
    /** Id of the last event that the caller has already; undefined where it has none. */
    readonly afterEvent: number | undefined;
    /** Bytes of the response that are held in memory. */
    readonly held: HeldMessage;
}

/** Options of one target's part of a stream. */
export interface StreamPartOptions {
    /** Aborts waits for the caller. */
    readonly signal: AbortSignal;
    /** Called with the number of events when the first of the whole answer have arrived, before the caller gets it. */
    readonly onFirstEvent: (count: number) => void;
    /** Called with the number of further events that have arrived, before the caller gets them. */
    readonly onEvents: (count: number) => void;
}

/** Relays the events of one request's stream to its caller, from one target or from several in sequence. */
export class StreamRelay {
    private started = false;
    private isFramed = false;
    private lastId: number | undefined;
    /** Whether events of this stream have ids, so that each part of it begins with one. */
    private hasIds: boolean;
    private events = 0;

    constructor(private readonly opts: StreamRelayOptions) {
        this.lastId = opts.afterEvent;
        this.hasIds = opts.afterEvent !== undefined;
    }

    /** Whether the head was sent to the caller. */
    get isStarted(): boolean {
        return this.started;
    }

    /** Number of relayed events. */
    get eventCount(): number {
        return this.events;
    }

    /** Id of the last event that was sent to the caller. */
    get lastEventId(): number | undefined {
        return this.lastId;
    }

    /** Relays events as they arrive, no faster than the caller reads; the head is sent with the first one. */
    async relay(
        head: ResponseHead,
        body: AsyncIterable<Buffer>,
        { signal, onFirstEvent, onEvents }: StreamPartOptions,
    ): Promise<StreamRelayResult> {
        const splitter = new EventSplitter();
        const eventsBefore = this.events;
        const continues = eventsBefore > 0 || this.opts.afterEvent !== undefined;
        try {
            for await (const chunk of body) {
                const { bytes, count, ids, startsWithId } = splitter.push(chunk);
                this.opts.held.resize(splitter.pendingBytes);
                if (bytes.length === 0) {
                    continue;
                }
                const isFirstOfPart = count > 0 && this.events === eventsBefore;
                if (this.hasIds && isFirstOfPart && continues && !startsWithId) {
                    return { kind: "cut", cause: "the response does not continue the stream" };
                }
                if (!this.acceptIds(ids)) {
                    return { kind: "out_of_order" };
                }
                if (this.events > 0) {
                    onEvents(count);
                }
                else if (count > 0) {
                    onFirstEvent(count);
                }
                this.events += count;
                this.start(head);
                await this.opts.caller.sendEvents(bytes, signal);
            }
        }
        catch (err) {
            return { kind: "cut", cause: err instanceof Error ? err.message : String(err) };
        }
        const rest = splitter.finish();
        if (rest === undefined) {
            return { kind: "cut", cause: "the stream ends within an event" };
        }
        if (!head.isFramed && this.events === eventsBefore) {
            return { kind: "cut", cause: "the connection ended before the first event" };
        }
        if (continues && this.events === eventsBefore && !isEventStream(head)) {
            return { kind: "cut", cause: "the response is no stream" };
        }
        if (this.started && this.isFramed && !head.isFramed) {
            return { kind: "cut", cause: "the end of an unframed stream cannot be distinguished from a cut" };
        }
        this.start(head);
        if (rest.length > 0) {
            await this.opts.caller.sendEvents(rest, signal);
        }
        return { kind: "complete" };
    }

    private start(head: ResponseHead): void {
        if (!this.started) {
            this.started = true;
            this.isFramed = head.isFramed;
            this.opts.caller.startStream(head);
        }
    }

    /** Updates the last id; returns whether the ids continue the earlier ones. */
    private acceptIds(ids: readonly number[]): boolean {
        this.hasIds ||= ids.length > 0;
        return ids.every(id => {
            const isNewer = this.lastId === undefined || id > this.lastId;
            this.lastId = id;
            return isNewer;
        });
    }
}
