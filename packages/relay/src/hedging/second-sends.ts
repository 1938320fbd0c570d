import { BoundedMap } from "../bounded-map.js";
import type { TargetLoads } from "../load/target-loads.js";
import { type SecondSendDenial, SecondSendPolicy, type SecondSendView } from "../policy/second-send-policy.js";
import type { TargetRoom } from "../policy/target-room.js";
import type { RelayLog } from "../relay-log.js";
import type { TargetDirectory } from "../targets/target-directory.js";
import type { TargetState } from "../targets/target-state.js";
import type { TargetSend } from "./target-send.js";

/** Options of {@link SecondSends}. */
export interface SecondSendsOptions {
    /** Largest share of all sends to a service, above 0. */
    readonly share: number;
    /** Percentile of a service's times to the first byte after which a second send is made. */
    readonly percentile: number;
    readonly directory: Pick<TargetDirectory, "getServing">;
    readonly loads: TargetLoads;
    /** Whether this instance neither stops nor is overloaded. */
    readonly isInstanceReady: () => boolean;
    readonly log: RelayLog;
    /** Adds to a counter. */
    readonly count: (name: string, amount?: number) => void;
    /** Monotonic time in milliseconds; `performance.now` by default. */
    readonly nowMs?: () => number;
}

/** How a second send ended; undecided where the request's time ended before either response. */
export type SecondSendResult = "won" | "lost" | "undecided";

/** Maximum number of services whose times are kept. */
const MAX_SERVICES = 256;

/** What this instance knows and counts of second sends, by service. */
export class SecondSends {
    private readonly policies = new BoundedMap<SecondSendPolicy>(MAX_SERVICES);

    constructor(private readonly opts: SecondSendsOptions) {}

    /** Decisions for each service that was sent to. */
    get view(): readonly (SecondSendView & { readonly service: string; })[] {
        return this.policies.list().map(([service, policy]) => ({ service, ...policy.view }));
    }

    /** Decisions for a service. */
    getPolicy(service: string): SecondSendPolicy {
        const known = this.policies.get(service);
        if (known !== undefined) {
            return known;
        }
        const { share, percentile, nowMs = () => performance.now() } = this.opts;
        const policy = new SecondSendPolicy({ share, percentile, nowMs });
        this.policies.set(service, policy);
        return policy;
    }

    /** Decides about a second send that is due; undefined where it may be made. */
    getDenial(service: string): SecondSendDenial | undefined {
        const targets = this.opts.directory.getServing(service).states.map(state => this.getRoom(state));
        return this.getPolicy(service).getDenial({ isInstanceReady: this.opts.isInstanceReady(), targets });
    }

    /** Ids of a service's targets that have no room for a second send with a number of tokens. */
    listWithoutRoom(service: string, tokens: number): readonly string[] {
        const policy = this.getPolicy(service);
        return this.opts.directory.getServing(service).states
            .filter(state => !policy.hasRoom(this.getRoom(state), tokens))
            .map(({ target }) => target.id);
    }

    /** Counts a second send that was due and is not made. */
    recordDenial(denial: SecondSendDenial): void {
        this.opts.count(`second_sends_not_sent_${denial}`);
    }

    /** Counts a second send. */
    recordSecond(service: string): void {
        this.getPolicy(service).recordSecond();
        this.opts.count("second_sends");
    }

    /** Counts the work of a send that was cancelled, since the response of the other one is used. */
    recordCancelled({ startedAtMs }: TargetSend, promptTokens: number): void {
        const ms = performance.now() - startedAtMs;
        this.opts.count("second_sends_cancelled");
        this.opts.count("second_sends_cancelled_ms", Math.round(ms));
        this.opts.count("second_sends_cancelled_prompt_tokens", promptTokens);
    }

    /** Records how a second send ended. */
    recordResult(service: string, result: SecondSendResult): void {
        this.opts.count(`second_sends_${result}`);
        const policy = this.getPolicy(service);
        if (result !== "undecided" && policy.recordResult(result === "won")) {
            this.opts.count("second_sends_turned_off");
            this.opts.log.write("second sends off", { service });
        }
    }

    private getRoom(state: TargetState): TargetRoom {
        const nowMs = performance.now();
        const { target, health, inFlight } = state;
        return {
            slots: target.slots,
            ownRequests: inFlight,
            isBlocked: !health.isUsable(nowMs) || health.isFull(nowMs) || state.getWaitMs(nowMs) > 0,
            load: this.opts.loads.get(target),
        };
    }
}
