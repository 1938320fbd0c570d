import type { SharedResponse } from "@ospreyreel/claims";
import { OspreyError } from "@ospreyreel/errors";
import type { AcknowledgedIntent, Ledger, Reservation } from "@ospreyreel/ledger";
import type { Counters } from "@ospreyreel/telemetry";
import { randomUUID } from "node:crypto";
import type { Attempt, AttemptResult } from "./attempt.js";
import type { EngineAttempt } from "./engine-attempt.js";
import type { RequestContext } from "./request-context.js";
import type { ServiceAttempt } from "./service-attempt.js";
import type { TargetGate, TargetSlot } from "./target-gate.js";

/** Options of {@link RequestRunner}. */
export interface RequestRunnerOptions {
    readonly ledger: Ledger;
    readonly gate: TargetGate;
    readonly engines: EngineAttempt;
    readonly services: ServiceAttempt;
    readonly counters: Counters;
}

/** The records that must exist before a dispatch. */
interface DispatchPermit {
    readonly acknowledged: AcknowledgedIntent;
    /** Id of this attempt's claim, or of the claim of an earlier attempt that certainly did not run. */
    readonly claimId: string;
}

const MAX_ATTEMPTS = 3;
const MAX_UNUSED_CLAIMS = 10_000;

/** Runs one request: reserve, choose a target, claim, acknowledge, dispatch; another target only where that is safe. */
export class RequestRunner {
    /** Ids of active claims under which this process certainly dispatched nothing. */
    private readonly unusedClaims = new Set<string>();

    constructor(private readonly opts: RequestRunnerOptions) {}

    /** Writes the response. Throws where nothing was written; the error's outcome says whether it may have run. */
    async run(ctx: RequestContext, answer: SharedResponse): Promise<void> {
        const triedTargets: string[] = [];
        let mayHaveRun = false;
        for (let attempt = 1; attempt <= MAX_ATTEMPTS; attempt++) {
            const result = await this.runAttempt(ctx, answer, triedTargets, mayHaveRun);
            if (result.kind === "done") {
                return;
            }
            mayHaveRun ||= result.kind === "unknown";
            const started = result.kind === "unknown" && result.started;
            if (started || (mayHaveRun && !ctx.idempotent)) {
                throw new OspreyError("the target failed after work had begun", {
                    result: ctx.idempotent ? "targetFailed" : "outcomeUnknown",
                    cause: result.cause,
                });
            }
            if (attempt === MAX_ATTEMPTS || !this.opts.gate.tryRetry()) {
                throw this.createNotServedError(mayHaveRun, result.cause);
            }
            this.opts.counters.add("target_retries");
        }
    }

    private createNotServedError(mayHaveRun: boolean, cause: unknown): OspreyError {
        return new OspreyError("no target served the request", {
            result: mayHaveRun ? "targetFailed" : "noTarget",
            cause,
        });
    }

    private async runAttempt(
        ctx: RequestContext,
        answer: SharedResponse,
        triedTargets: string[],
        mayHaveRun: boolean,
    ): Promise<AttemptResult> {
        const reservation = await this.opts.ledger.reserve(ctx.team.budget, ctx.worstCaseTokens)
            .catch((err: unknown) => this.rethrow(mayHaveRun, err));
        const slot = await this.opts.gate.acquire(ctx, triedTargets).catch((err: unknown) => {
            this.opts.ledger.release(reservation);
            return this.rethrow(mayHaveRun, err);
        });
        triedTargets.push(slot.target.name);
        const streamId = randomUUID();
        const { acknowledged, claimId } = await this.prepareDispatch(ctx, reservation, slot, streamId)
            .catch((err: unknown) => this.rethrow(mayHaveRun, err));
        const attempt: Attempt = { ctx, slot, acknowledged, streamId, answer };
        const attempts = ctx.offering.kind === "model" ? this.opts.engines : this.opts.services;
        const result = await attempts.run(attempt);
        if (result.kind === "not_run") {
            this.addUnusedClaim(claimId);
        }
        return result;
    }

    /** Creates the claim and the intent that must exist before a dispatch; releases slot and reservation on failure. */
    private async prepareDispatch(
        ctx: RequestContext,
        reservation: Reservation,
        slot: TargetSlot,
        streamId: string,
    ): Promise<DispatchPermit> {
        const { ledger } = this.opts;
        let claimId = streamId;
        try {
            if (!ctx.idempotent && ctx.keyed) {
                claimId = await this.claim(ctx, reservation, streamId);
            }
        }
        catch (err) {
            // The claim may have been written despite the error, and nothing is dispatched under it.
            this.addUnusedClaim(streamId);
            ledger.release(reservation);
            slot.release("abandoned");
            throw err;
        }
        try {
            const acknowledged = await ledger.acknowledge(reservation, {
                id: streamId,
                streamId,
                team: ctx.team.name,
                requestKey: ctx.requestKey,
                offering: ctx.offering.name,
                targetKind: slot.target.kind,
                target: slot.target.name,
                targetUrl: slot.target.url,
                idempotent: ctx.idempotent,
                fingerprint: ctx.fingerprint,
            });
            return { acknowledged, claimId };
        }
        catch (err) {
            this.addUnusedClaim(claimId);
            slot.release("abandoned");
            throw err;
        }
    }

    /** Returns the id of the claim under which the attempt may run. */
    private async claim(ctx: RequestContext, reservation: Reservation, intentId: string): Promise<string> {
        const claim = { team: ctx.team.name, requestKey: ctx.requestKey, intentId };
        const activeClaim = await this.opts.ledger.claim(reservation, claim);
        if (activeClaim === undefined) {
            throw new OspreyError("the request has run and is billed", { result: "alreadyCompleted" });
        }
        // An earlier attempt's active claim permits this one only where that attempt is known not to have run. It is no
        // longer unused then, so that no further attempt runs under it once this one may have run.
        if (activeClaim.intentId !== intentId && !this.unusedClaims.delete(activeClaim.intentId)) {
            throw new OspreyError("the request was claimed before and may have run", { result: "outcomeUnknown" });
        }
        return activeClaim.intentId;
    }

    private addUnusedClaim(intentId: string): void {
        this.unusedClaims.add(intentId);
        const [oldest] = this.unusedClaims;
        if (this.unusedClaims.size > MAX_UNUSED_CLAIMS && oldest !== undefined) {
            this.unusedClaims.delete(oldest);
        }
    }

    /** Rethrows an error; after an attempt that may have run it must not say "not run". */
    private rethrow(mayHaveRun: boolean, err: unknown): never {
        if (mayHaveRun) {
            throw new OspreyError("the request could not be sent to another target", {
                result: "targetFailed",
                cause: err,
            });
        }
        throw err;
    }
}
