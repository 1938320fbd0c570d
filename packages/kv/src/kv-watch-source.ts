import type { Disposable, Scheduler, Sink, Source } from "most";
import type { KvEvent } from "./kv-event.js";

/** Base class of sources of the changes under a prefix; each run is one watch. */
export abstract class KvWatchSource implements Source<KvEvent> {
    /** Ends all watches when the client closes. */
    protected abstract readonly closed: AbortSignal;

    /** Emits the changes until the signal is aborted; does not throw errors that can be retried. */
    protected abstract emitChanges(emit: (event: KvEvent) => void, signal: AbortSignal): Promise<void>;

    /** Starts the watch, which ends when disposed or when the client closes. */
    run(sink: Sink<KvEvent>, scheduler: Scheduler): Disposable<KvEvent> {
        const disposed = new AbortController();
        const signal = AbortSignal.any([disposed.signal, this.closed]);
        const emit = (event: KvEvent): void => {
            if (!signal.aborted) {
                sink.event(scheduler.now(), event);
            }
        };
        this.emitChanges(emit, signal).then(
            () => sink.end(scheduler.now()),
            (err: unknown) => sink.error(scheduler.now(), err as Error),
        );
        return { dispose: () => disposed.abort() };
    }
}
