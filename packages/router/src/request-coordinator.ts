import {
    type KeyLocator,
    type KeyStatus,
    type RequestIdentity,
    type RequestRegistry,
    type SharedResponse,
} from "@ospreyreel/claims";
import type { CurrentDocument } from "@ospreyreel/config";
import { hasResult, OspreyError, toOspreyError } from "@ospreyreel/errors";
import type { Ledger } from "@ospreyreel/ledger";
import type { PeerHub } from "@ospreyreel/peer";
import type { Counters } from "@ospreyreel/telemetry";
import type { Address, KeyLookupRequest, StreamRef } from "@ospreyreel/types";
import type { CallerRequest } from "./caller-server.js";
import type { Forwarder } from "./forwarder.js";
import { getRequestContext } from "./get-request-context.js";
import type { RequestContext } from "./request-context.js";
import type { RequestRunner } from "./request-runner.js";
import type { SealedStreamReader } from "./sealed-stream-reader.js";
import { writeResponse } from "./write-response.js";

/** Options of {@link RequestCoordinator}. */
export interface RequestCoordinatorOptions {
    readonly getDocument: () => CurrentDocument | undefined;
    readonly registry: RequestRegistry;
    readonly locator: KeyLocator;
    readonly ledger: Ledger;
    readonly runner: RequestRunner;
    readonly sealedReader: SealedStreamReader;
    readonly hub: PeerHub;
    readonly forwarder: Forwarder;
    readonly counters: Counters;
}

const HOLDINGS_TIMEOUT_MS = 300;

/** Results that mean that this instance cannot get enough of the budget. */
const INSUFFICIENT_BUDGET_RESULTS = ["budgetExhausted", "budgetReserved"] as const;

/** Results after which another instance may still be able to serve the request. */
const FORWARDABLE_RESULTS = ["ledgerUnavailable", "copyUnavailable", ...INSUFFICIENT_BUDGET_RESULTS] as const;

/** Handles a caller's request up to its response: joins a running one, forwards, resumes or runs it. */
export class RequestCoordinator {
    constructor(private readonly opts: RequestCoordinatorOptions) {}

    /** Serves one request. Throws errors with result codes only before anything was written. */
    async serve(call: CallerRequest): Promise<void> {
        const ctx = this.getContext(call);
        const identity: RequestIdentity = {
            team: ctx.team.name,
            requestKey: ctx.requestKey,
            fingerprint: ctx.fingerprint,
        };
        const known = this.opts.registry.find(identity);
        if (known !== undefined) {
            this.opts.counters.add("requests_joined");
            await this.join(call, ctx, known);
            return;
        }
        // Registered before anything is awaited, so that a second call with this key joins instead of running.
        const answer = this.opts.registry.add(identity, { pending: ctx.keyed && !ctx.forwarded });
        try {
            if (ctx.keyed && await this.serveKnownElsewhere(call, ctx, { identity, answer })) {
                return;
            }
            await this.run(call, ctx, answer);
        }
        finally {
            this.opts.registry.finish(identity);
        }
    }

    /** Returns what this instance knows of a key, for lookups by other instances. */
    getKeyStatus(req: KeyLookupRequest): KeyStatus {
        const { registry, ledger } = this.opts;
        const state = registry.getState(req.team, req.requestKey);
        if (state === "running" || state === "finished") {
            return { state };
        }
        if (ledger.findSealed(req.budget, req.team, req.requestKey) !== undefined) {
            return { state: "sealed" };
        }
        const copied = ledger.copies.find(req.team, req.requestKey);
        if (copied !== undefined) {
            return { state: "copied", holder: copied.copy.holder };
        }
        return { state: ledger.findBilled(req.budget, req.team, req.requestKey) === undefined ? state : "billed" };
    }

    private getContext(call: CallerRequest): RequestContext {
        const { requestId, path, query, req, body } = call;
        const current = this.opts.getDocument();
        if (current === undefined) {
            throw new OspreyError("no current configuration is known here", { result: "notReady" });
        }
        const { document } = current;
        const forwarded = this.opts.forwarder.isForwarded(call);
        return getRequestContext({ req, path, query, body, document, requestId, nowMs: Date.now(), forwarded });
    }

    /** Responds from a request that runs or ran here, or at the instance that it was forwarded to. */
    private async join(call: CallerRequest, ctx: RequestContext, answer: SharedResponse): Promise<void> {
        if (answer.isDone && !answer.isReadable && answer.forwardedTo === undefined) {
            throw answer.error ?? new OspreyError("the response is no longer held", { result: "alreadyCompleted" });
        }
        await answer.readHead().catch(() => undefined);
        // A forwarded request is not forwarded again: two instances could forward it back and forth.
        if (answer.forwardedTo !== undefined && !ctx.forwarded) {
            await this.opts.forwarder.forward(call, answer.forwardedTo, "inProgressElsewhere");
            return;
        }
        await writeResponse(call.res, answer, call.requestId);
    }

    /** Serves a key that another instance or an earlier run knows; false where the request is to be run here. */
    private async serveKnownElsewhere(
        call: CallerRequest,
        ctx: RequestContext,
        { identity, answer }: { readonly identity: RequestIdentity; readonly answer: SharedResponse; },
    ): Promise<boolean> {
        const { team, requestKey } = identity;
        const lookup = { team, budget: ctx.team.budget, requestKey };
        const { ledger, locator } = this.opts;
        const markRunning = (): void => this.opts.registry.markRunning(identity);
        const sealed = ledger.findSealed(lookup.budget, lookup.team, lookup.requestKey);
        if (sealed !== undefined) {
            markRunning();
            return await this.serveEarlierRun(call, ctx, answer, sealed, "outcomeUnknown");
        }
        const bill = ledger.findBilled(lookup.budget, lookup.team, lookup.requestKey);
        if (bill !== undefined) {
            markRunning();
            return await this.serveEarlierRun(call, ctx, answer, bill.stream, "alreadyCompleted");
        }
        if (ctx.forwarded) {
            await locator.announce(lookup);
            return false;
        }
        const ownCopy = ledger.copies.find(lookup.team, lookup.requestKey)?.copy.holder;
        const found = await locator.locate(lookup, ownCopy, chosen => {
            if (chosen === undefined) {
                markRunning();
            }
            else if (chosen.state !== "copied") {
                answer.forwardTo(chosen.caller);
            }
        });
        if (found === undefined) {
            return false;
        }
        if (found.state === "copied") {
            const err = new OspreyError("its instance is unreachable", { result: "inProgressElsewhere" });
            throw this.fail(answer, err);
        }
        await this.opts.forwarder.forward(call, found.caller, "inProgressElsewhere");
        return true;
    }

    /** Serves a request that another incarnation ran from its engine's stream, or runs it again where that is safe. */
    private async serveEarlierRun(
        call: CallerRequest,
        ctx: RequestContext,
        answer: SharedResponse,
        stream: StreamRef | undefined,
        resultIfNotRepeated: "outcomeUnknown" | "alreadyCompleted",
    ): Promise<boolean> {
        if (stream !== undefined && stream.fingerprint !== ctx.fingerprint) {
            const message = "the idempotency key was used with a different request";
            throw this.fail(answer, new OspreyError(message, { result: "keyReused" }));
        }
        const writing = writeResponse(call.res, answer, call.requestId);
        if (stream !== undefined && await this.opts.sealedReader.read(ctx, stream, answer)) {
            await writing;
            return true;
        }
        if (ctx.idempotent) {
            await this.runInto(ctx, answer);
        }
        else {
            this.fail(answer, new OspreyError("the request ran and is not run again", { result: resultIfNotRepeated }));
        }
        await writing;
        return true;
    }

    private async run(call: CallerRequest, ctx: RequestContext, answer: SharedResponse): Promise<void> {
        const writing = writeResponseUnlessForwardable(call, answer);
        const running = this.runInto(ctx, answer);
        const failure = await writing;
        if (failure === undefined) {
            await running;
            return;
        }
        await running;
        const peer = ctx.forwarded ? undefined : await this.findPeerWithBudget(ctx, failure);
        if (peer === undefined) {
            throw failure;
        }
        this.opts.counters.add("requests_forwarded_for_grant");
        await this.forward(call, answer, peer, "outcomeUnknown").catch((err: unknown) => {
            throw hasResult(err, "peerUnavailable") ? failure : err;
        });
    }

    private async runInto(ctx: RequestContext, answer: SharedResponse): Promise<void> {
        try {
            await this.opts.runner.run(ctx, answer);
        }
        catch (err) {
            answer.fail(err);
        }
    }

    private async forward(
        call: CallerRequest,
        answer: SharedResponse,
        to: Address,
        failure: "outcomeUnknown" | "inProgressElsewhere",
    ): Promise<boolean> {
        answer.forwardTo(to);
        await this.opts.forwarder.forward(call, to, failure);
        return true;
    }

    /** Returns the peer that gathers a short budget, or one that can reserve the request's worst case immediately. */
    private async findPeerWithBudget(ctx: RequestContext, failure: OspreyError): Promise<Address | undefined> {
        const { hub, ledger } = this.opts;
        const peers = hub.peers().filter(peer => peer.state === "live");
        const gatherer = peers.find(peer => peer.incarnation === ledger.getGathererIncarnation(ctx.team.budget));
        if (gatherer !== undefined && INSUFFICIENT_BUDGET_RESULTS.some(name => hasResult(failure, name))) {
            return gatherer.caller;
        }
        const req = { budget: ctx.team.budget };
        const requests = peers.map(async peer => ({
            peer,
            ...await hub.request(peer.incarnation, "ledger.holdings", req, HOLDINGS_TIMEOUT_MS),
        }));
        const holdings = await Promise.allSettled(requests);
        const candidates = holdings
            .filter(result => result.status === "fulfilled")
            .map(result => result.value)
            .filter(holding => holding.available >= ctx.worstCaseTokens);
        return candidates.toSorted((a, b) => b.available - a.available)[0]?.peer.caller;
    }

    private fail(answer: SharedResponse, err: OspreyError): OspreyError {
        answer.fail(err);
        return err;
    }
}

/** Writes the response, but returns an error instead of writing it where another instance may serve the request. */
const writeResponseUnlessForwardable = async (
    call: CallerRequest,
    answer: SharedResponse,
): Promise<OspreyError | undefined> => {
    try {
        await answer.readHead();
    }
    catch (thrown) {
        const err = toOspreyError(thrown);
        if (FORWARDABLE_RESULTS.some(name => hasResult(err, name))) {
            return err;
        }
        throw err;
    }
    await writeResponse(call.res, answer, call.requestId);
    return undefined;
};
