import type { Dispatcher } from "undici";

/** Records whether any byte of a request may have left this process. */
export interface SentMark {
    sent: boolean;
}

/** Sets the mark when a request is passed to a connected socket, right before its first byte. */
export const createSentMarker =
    (mark: SentMark): Dispatcher.DispatcherComposeInterceptor => dispatch => (opts, handler) =>
        dispatch(opts, {
            onRequestStart: (controller, context) => {
                handler.onRequestStart?.(controller, context);
                // A signal aborted while the request waited for a connection ends it here, before its first byte.
                mark.sent = !controller.aborted;
            },
            onRequestUpgrade: (...args) => handler.onRequestUpgrade?.(...args),
            onResponseStart: (...args) => handler.onResponseStart?.(...args),
            onResponseData: (...args) => handler.onResponseData?.(...args),
            onResponseEnd: (...args) => handler.onResponseEnd?.(...args),
            onResponseError: (...args) => handler.onResponseError?.(...args),
        });
