import { BoundedMap } from "../bounded-map.js";
import type { GenerationRequest, RelayRequest } from "../relay-request.js";
import { getStartKey, type Target } from "../targets/target.js";
import { type ObservedSend, SendObserver } from "./send-observer.js";
import { SpeedEstimate } from "./speed-estimate.js";
import type { TargetLoads } from "./target-loads.js";

/** What one target does with the tokens that it gets. */
export interface TargetSpeed {
    /** Time between two events of a stream, in milliseconds; undefined where it is not known. */
    readonly msPerEvent: number | undefined;
    /** Time to the first event for each prompt token that was not cached, in milliseconds; undefined where it is not known. */
    readonly msPerPromptToken: number | undefined;
}

/** Options of {@link TargetSpeeds}. */
export interface TargetSpeedsOptions {
    /** Loads of the targets; a request that may wait says nothing about the speed with which its prompt is processed. */
    readonly loads: TargetLoads;
    /** Monotonic time in milliseconds. */
    readonly nowMs: () => number;
}

/** Maximum number of targets whose speed is known. */
const MAX_TARGETS = 4_096;

/** Maximum number of pairs of a target and a prompt part that are remembered. */
const MAX_CACHED_PARTS = 8_192;

/** Time for which a target is expected to keep a prompt part that was sent to it, in milliseconds. */
const CACHED_MS = 30_000;

/** Fewest prompt tokens of which the time to the first event says something about the target. */
const MIN_PROMPT_TOKENS = 256;

/** Fewest gaps between events that are measured together. */
const MIN_GAPS = 4;

interface TargetEstimates {
    readonly event: SpeedEstimate;
    readonly promptToken: SpeedEstimate;
}

const UNKNOWN: TargetSpeed = { msPerEvent: undefined, msPerPromptToken: undefined };

/**
 * Measures the speed of targets by this instance's streams. A mean of the times to the first event would take a target that gets longer prompts for a
 * slower one, so that time is divided by the prompt tokens, without those that the target probably had cached.
 */
export class TargetSpeeds extends SendObserver {
    private readonly estimates = new BoundedMap<TargetEstimates>(MAX_TARGETS);
    private readonly cachedAtMs = new BoundedMap<number>(MAX_CACHED_PARTS);

    constructor(private readonly opts: TargetSpeedsOptions) {
        super();
    }

    /** Speed of a target by what it did lately. */
    get(target: Target): TargetSpeed {
        const known = this.estimates.get(getStartKey(target));
        if (known === undefined) {
            return UNKNOWN;
        }
        const nowMs = this.opts.nowMs();
        return { msPerEvent: known.event.getValue(nowMs), msPerPromptToken: known.promptToken.getValue(nowMs) };
    }

    override begin(target: Target, req: RelayRequest): ObservedSend {
        const { generation } = req;
        const startedAtMs = this.opts.nowMs();
        const promptTokens = generation === undefined || this.mayWait(target)
            ? undefined
            : this.getUncachedTokens(target, generation);
        let firstAtMs: number | undefined;
        let lastAtMs = 0;
        let gaps = 0;
        let isEnded = false;
        return {
            recordOutcome: () => undefined,
            recordEvents: count => {
                lastAtMs = this.opts.nowMs();
                if (firstAtMs !== undefined) {
                    gaps += count;
                    return;
                }
                firstAtMs = lastAtMs;
                this.rememberParts(target, generation);
                if (promptTokens !== undefined && promptTokens >= MIN_PROMPT_TOKENS) {
                    this.getEstimates(target).promptToken.add((firstAtMs - startedAtMs) / promptTokens, lastAtMs);
                }
            },
            end: () => {
                if (!isEnded && firstAtMs !== undefined && gaps >= MIN_GAPS) {
                    this.getEstimates(target).event.add((lastAtMs - firstAtMs) / gaps, lastAtMs);
                }
                isEnded = true;
            },
        };
    }

    private mayWait(target: Target): boolean {
        const load = this.opts.loads.get(target);
        return load === undefined || load.weight < 1 || load.queued > 0 || load.running + 1 > target.slots;
    }

    /** Prompt tokens that the target has to process; undefined where it may have more cached than is known here. */
    private getUncachedTokens(target: Target, { promptTokens, parts }: GenerationRequest): number | undefined {
        const shared = parts.slice(0, -1);
        const last = shared.at(-1);
        if (last === undefined) {
            return promptTokens;
        }
        const sentAtMs = this.cachedAtMs.get(getPartKey(target, last.id));
        return sentAtMs === undefined || this.opts.nowMs() - sentAtMs > CACHED_MS
            ? undefined
            : promptTokens - shared.reduce((sum, part) => sum + part.tokens, 0);
    }

    private rememberParts(target: Target, generation: GenerationRequest | undefined): void {
        const last = generation?.parts.at(-2);
        if (last !== undefined) {
            this.cachedAtMs.set(getPartKey(target, last.id), this.opts.nowMs());
        }
    }

    private getEstimates(target: Target): TargetEstimates {
        const key = getStartKey(target);
        const known = this.estimates.get(key) ?? { event: new SpeedEstimate(), promptToken: new SpeedEstimate() };
        this.estimates.set(key, known);
        return known;
    }
}

const getPartKey = (target: Target, part: string): string => `${getStartKey(target)} ${part}`;
