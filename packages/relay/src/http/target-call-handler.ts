import { ExchangeWatch, isFramed, isResponseStatus } from "@ospreyreel/targets";
import type { Dispatcher } from "undici";
import type { TargetCall, TargetOutcome } from "../targets/target-port.js";
import { findHeader, toHeaderPairs } from "./header-list.js";
import { ResponseBody } from "./response-body.js";
import type { ResponseEnds } from "./response-ends.js";
import { hasTooManySmallParts } from "./small-parts.js";
import type { TargetProtocol } from "./target-protocol.js";

/** Maximum size of a complete or streamed response, in bytes; limits the use of memory. */
const MAX_RESPONSE_BYTES = 16 * 1_024 * 1_024;

/** Maximum size of a body that is read only to reuse its connection, in bytes. */
const MAX_DISCARDED_BYTES = 65_536;

/** Maximum time to read such a body, in milliseconds. */
const MAX_DISCARD_MS = 1_000;

const HTTP_FINAL_FROM = 200;

const CUT_CAUSES = {
    cut: "the connection was closed as the target's process ended",
    unknown: "the connection was closed, and the target does not answer",
} as const;

/** Handles one exchange with a target. */
export class TargetCallHandler implements Dispatcher.DispatchHandler {
    private readonly body = new ResponseBody({
        pause: () => this.controller?.pause(),
        resume: () => this.controller?.resume(),
        abandon: () => this.abort(new Error("the response is not read further")),
    });
    /** Watches the exchange on its connection. */
    readonly watch = new ExchangeWatch(err => this.abort(err), () => this.controller?.resume());
    private controller: Dispatcher.DispatchController | undefined;
    private isFramed = true;
    private discardTimer: NodeJS.Timeout | undefined;
    private sent = false;
    private settled = false;
    private bytes = 0;
    private parts = 0;
    private aborted: Error | undefined;

    constructor(
        private readonly call: TargetCall,
        private readonly protocol: TargetProtocol,
        private readonly ends: ResponseEnds,
        private readonly resolve: (outcome: TargetOutcome) => void,
    ) {}

    /** Aborts the exchange and closes its connection. */
    abort(err: Error): void {
        this.aborted ??= err;
        this.controller?.abort(err);
        this.settle(this.failed(err));
        this.body.fail(err);
    }

    onRequestStart(controller: Dispatcher.DispatchController): void {
        this.controller = controller;
        if (!this.call.mayStart()) {
            this.aborted ??= new Error("the target left while a connection was opened");
        }
        if (this.aborted !== undefined) {
            controller.abort(this.aborted);
            return;
        }
        this.sent = true;
        this.watch.start();
    }

    onResponseStart(controller: Dispatcher.DispatchController, status: number): void {
        if (!isResponseStatus(status)) {
            this.abort(new Error(`the response has the status ${status}`));
            return;
        }
        if (status < HTTP_FINAL_FROM) {
            return;
        }
        const raw = (controller.rawHeaders ?? []) as readonly (Buffer | string)[];
        const headers = toHeaderPairs(raw.map(value => value.toString("latin1")));
        this.isFramed = isFramed(
            status,
            findHeader(headers, "content-length"),
            findHeader(headers, "transfer-encoding"),
        );
        const decoded = this.protocol.decode(this.call, status, headers);
        switch (decoded.kind) {
            case "answer":
                this.settle({
                    kind: "answer",
                    head: { status, headers: decoded.headers, isFramed: this.isFramed },
                    body: this.body,
                    connectedAtMs: this.watch.connectedAtMs,
                    ...(decoded.notes === undefined ? {} : { notes: decoded.notes }),
                });
                break;
            case "not_run":
                this.settle(decoded);
                this.discardBody();
                break;
            case "invalid":
                this.abort(new Error(decoded.cause));
        }
    }

    onResponseData(_controller: Dispatcher.DispatchController, chunk: Buffer): void {
        // One without bytes comes with the end of a paused connection, which must not be paused again.
        if (chunk.length === 0) {
            return;
        }
        this.bytes += chunk.length;
        this.parts += 1;
        this.watch.addBody(chunk.length);
        if (this.bytes > (this.discardTimer === undefined ? MAX_RESPONSE_BYTES : MAX_DISCARDED_BYTES)) {
            this.abort(new Error("the response is too large"));
            return;
        }
        if (hasTooManySmallParts(this.parts, this.bytes)) {
            this.abort(new Error("the response has too many small parts"));
            return;
        }
        this.body.push(chunk);
    }

    onResponseEnd(): void {
        this.stopWatching();
        if (this.isFramed) {
            this.body.end();
        }
        else if (this.watch.wasReset) {
            this.body.fail(new Error("the connection was reset"));
        }
        else if (this.call.req.method === "HEAD" || this.discardTimer !== undefined) {
            this.body.end();
        }
        else {
            void this.endUnframed();
        }
    }

    onResponseError(_controller: Dispatcher.DispatchController, err: Error): void {
        this.stopWatching();
        this.settle(this.failed(err));
        this.body.fail(err);
    }

    /** Ends a body that ends with its connection, once it is known that its target has ended it. */
    private async endUnframed(): Promise<void> {
        const end = await this.ends.judge(this.call.target);
        if (end === "whole") {
            this.body.end();
        }
        else {
            this.body.fail(new Error(CUT_CAUSES[end]));
        }
    }

    private stopWatching(): void {
        clearTimeout(this.discardTimer);
        this.watch.stop();
    }

    /** Reads a body that nobody needs, so that its connection can be reused if the body is short. */
    private discardBody(): void {
        this.discardTimer = setTimeout(
            () => this.abort(new Error("a response without use does not end")),
            MAX_DISCARD_MS,
        );
        this.body.discard();
    }

    private failed(err: Error): TargetOutcome {
        return this.sent ? { kind: "failed", cause: err.message } : { kind: "not_sent", cause: err.message };
    }

    private settle(outcome: TargetOutcome): void {
        if (!this.settled) {
            this.settled = true;
            this.resolve(outcome);
        }
    }
}
