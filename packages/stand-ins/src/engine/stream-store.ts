import { createHash } from "node:crypto";
import type { BatchScheduler } from "./batch-scheduler.js";
import type { CompletionRequest } from "./completion-request.js";
import { EngineStream, type EngineStreamRecord } from "./engine-stream.js";

/** One run as the oracle sees it. */
export interface RunRecord extends EngineStreamRecord {
    /** First 200 characters. */
    readonly prompt: string;
    readonly maxTokens: number;
}

/** Everything that the engine ran. */
export interface EngineRecord {
    readonly name: string;
    readonly runs: readonly RunRecord[];
    readonly totals: {
        readonly runs: number;
        readonly promptTokens: number;
        readonly completionTokens: number;
    };
}

const RECORDED_PROMPT_CHARS = 200;

/** Runs by id, kept for a while after their end; the oracle's list keeps all of them. */
export class StreamStore {
    private readonly streams = new Map<string, EngineStream>();
    private readonly all: EngineStream[] = [];
    private readonly timers = new Set<NodeJS.Timeout>();
    private readonly closing = new AbortController();

    constructor(private readonly scheduler: BatchScheduler, private readonly keepMs: number) {}

    /** Finds a run that is still kept. */
    get(id: string): EngineStream | undefined {
        return this.streams.get(id);
    }

    /** Finds the run of a repeated request or starts it; `undefined` where the id belongs to another body. */
    open(id: string, req: CompletionRequest): EngineStream | undefined {
        const fingerprint = createHash("sha256").update(JSON.stringify(req)).digest("hex");
        const known = this.streams.get(id);
        if (known !== undefined) {
            return known.fingerprint === fingerprint ? known : undefined;
        }
        const stream = new EngineStream(id, req, fingerprint);
        this.streams.set(id, stream);
        this.all.push(stream);
        this.scheduler.submit(stream);
        void this.forgetAfterEnd(stream);
        return stream;
    }

    /** A run other than the one given. */
    findOther(stream: EngineStream): EngineStream | undefined {
        return this.all.find(other => other !== stream);
    }

    /** The oracle's list. */
    getRecord(name: string): EngineRecord {
        const runs = this.all.map(stream => ({
            ...stream.toRecord(),
            prompt: stream.req.prompt.slice(0, RECORDED_PROMPT_CHARS),
            maxTokens: stream.req.maxTokens,
        }));
        const sum = (getTokens: (run: RunRecord) => number): number =>
            runs.reduce((total, run) => total + getTokens(run), 0);
        return {
            name,
            runs,
            totals: {
                runs: runs.length,
                promptTokens: sum(run => run.promptTokens),
                completionTokens: sum(run => run.completionTokens),
            },
        };
    }

    /** Stops the clocks of kept runs. */
    close(): void {
        this.closing.abort();
        this.timers.forEach(timer => clearTimeout(timer));
    }

    private async forgetAfterEnd(stream: EngineStream): Promise<void> {
        try {
            await stream.waitForEnd(this.closing.signal);
        }
        catch {
            return;
        }
        const timer = setTimeout(() => {
            this.timers.delete(timer);
            this.streams.delete(stream.id);
        }, this.keepMs);
        this.timers.add(timer);
    }
}
