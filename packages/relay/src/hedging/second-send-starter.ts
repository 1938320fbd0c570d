import type { SecondSendDenial } from "../policy/second-send-policy.js";
import { type AdmittedRequest, getMaxTokens, type RelayOptions } from "../relay.js";
import type { BegunStream } from "../targets/target-selector.js";
import type { TargetState } from "../targets/target-state.js";
import type { SecondSends } from "./second-sends.js";

/** What a second send depends on that was done for its request before. */
export interface EarlierSends {
    /** Target of the first send. */
    readonly first: TargetState;
    /** Ids of targets that the request was sent to, or that have no send left for it. */
    readonly tried: ReadonlySet<string>;
    /** Version that the sends have to continue; undefined where there is none yet. */
    readonly begun: BegunStream | undefined;
}

/** Acquires the target, the permit and the retry of one request's second send. */
export class SecondSendStarter {
    constructor(
        private readonly opts: RelayOptions,
        private readonly seconds: SecondSends,
        private readonly request: AdmittedRequest,
    ) {}

    /** Acquires a second send; undefined where it is not to be made, which is counted. `isWanted` says if it still is due. */
    async acquire(earlier: EarlierSends, isWanted: () => boolean): Promise<TargetState | undefined> {
        const { permits } = this.opts;
        const { service } = this.request.admission;
        const denial = this.getDenial(service);
        if (denial !== undefined) {
            return this.deny(denial);
        }
        const state = this.select(earlier);
        if (state === undefined) {
            return this.deny("no_room");
        }
        if (!await permits.acquire(state)) {
            return this.deny("limited");
        }
        const lateDenial = this.getLateDenial(service, isWanted);
        if (lateDenial !== undefined) {
            permits.release(state);
            return this.deny(lateDenial);
        }
        this.seconds.recordSecond(service);
        return state;
    }

    private getDenial(service: string): SecondSendDenial | undefined {
        const { freshness, parts } = this.opts;
        if (freshness.isOutdated) {
            return "instance_not_ready";
        }
        return parts.getBlockedPart(this.request.watched) === undefined
            ? this.seconds.getDenial(service)
            : "quarantined";
    }

    /** Decides what may have changed while the permit was acquired, and takes the retry last. */
    private getLateDenial(service: string, isWanted: () => boolean): SecondSendDenial | undefined {
        if (!isWanted() || this.request.clock.endReason !== undefined) {
            return "answered";
        }
        if (!this.seconds.getPolicy(service).isWithinShare) {
            return "share";
        }
        return this.opts.getRetries(service).tryAcquireSecond() ? undefined : "allowance";
    }

    /** Selects another target with room, of the first one's version. */
    private select({ first, tried, begun }: EarlierSends): TargetState | undefined {
        const { req, admission: { route, service, allowedRegions: regions } } = this.request;
        const { version } = first.target;
        if (version === undefined && route.kind === "streaming") {
            return undefined;
        }
        const state = this.opts.selector.select(req, route, service, {
            tried: new Set([...tried, ...this.seconds.listWithoutRoom(service, getMaxTokens(req))]),
            begun: begun ?? (version === undefined ? undefined : { version }),
            regions,
            mayTry: false,
        });
        return state?.target.version === version ? state : undefined;
    }

    private deny(denial: SecondSendDenial): undefined {
        this.seconds.recordDenial(denial);
        return undefined;
    }
}
