import type { Dispatcher } from "undici";
import { ExchangeWatch } from "../connection/exchange-watch.js";
import type { TargetDispatchOptions } from "../connection/http-target-client.js";
import { isFramed } from "../connection/is-framed.js";
import { isResponseStatus } from "../connection/is-response-status.js";

/** Fails responses without end in their framing, truncated ones that look complete, and those whose status is none. */
export const guardResponse: Dispatcher.DispatcherComposeInterceptor = dispatch => (opts, handler) => {
    let current: Dispatcher.DispatchController | undefined;
    let isDelimited = true;
    const watch = new ExchangeWatch(err => current?.abort(err), () => current?.resume());
    const guarded: TargetDispatchOptions = { ...opts, onConnection: connection => watch.setConnection(connection) };
    return dispatch(guarded, {
        onRequestStart: (controller, context) => {
            current = controller;
            watch.start();
            handler.onRequestStart?.(controller, context);
        },
        onRequestUpgrade: (...args) => handler.onRequestUpgrade?.(...args),
        onResponseStart: (controller, status, headers, message) => {
            if (!isResponseStatus(status)) {
                controller.abort(new Error(`the response has the status ${status}`));
                return;
            }
            isDelimited = opts.method === "HEAD"
                || isFramed(status, headers["content-length"], headers["transfer-encoding"]);
            handler.onResponseStart?.(controller, status, headers, message);
        },
        onResponseData: (controller, chunk) => {
            // One without bytes comes with the end of a paused connection, which must not be paused again.
            if (chunk.length > 0) {
                watch.addBody(chunk.length);
                handler.onResponseData?.(controller, chunk);
            }
        },
        onResponseEnd: (controller, trailers) => {
            watch.stop();
            if (!isDelimited && watch.wasReset) {
                handler.onResponseError?.(controller, new Error("the connection was reset"));
                return;
            }
            handler.onResponseEnd?.(controller, trailers);
        },
        onResponseError: (controller, err) => {
            watch.stop();
            handler.onResponseError?.(controller, err);
        },
    });
};
