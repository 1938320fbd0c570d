import type { Address } from "@ospreyreel/types";
import type { IncomingHttpHeaders, IncomingMessage, OutgoingHttpHeaders, ServerResponse } from "node:http";
import { setTimeout as sleep } from "node:timers/promises";
import { type JsonServer, readText, startJsonServer } from "../http-json/json-server.js";

/** A request that a target ran. */
export interface RunRequest {
    readonly id: string;
    readonly team: string | undefined;
    readonly path: string;
    readonly body: string;
    readonly waitsMs: number;
    readonly hadKey: boolean;
    /** Id of the target. */
    readonly target: string;
    /** Ids of the prompt's parts. */
    readonly parts: readonly string[];
    /** Monotonic time of its arrival, in milliseconds. */
    readonly atMs: number;
    /** Undefined while the target is at work on it. */
    readonly end: RunEnd | undefined;
}

/** When and how a target's work on a request ended. */
export interface RunEnd {
    readonly atMs: number;
    /** `brokenOff` where the target itself ended its answer early, so that it is no whole one. */
    readonly how: "complete" | "disconnected" | "crashed" | "brokenOff";
    /** Last event of a shorter stream that was whole; undefined for others. */
    readonly lastEvent?: number;
}

/** Headers with which a caller sets how a target answers. */
export const STAND_IN_HEADERS = {
    /** Time for each event or for the whole answer, in milliseconds. */
    stepMs: "stand-in-step-ms",
    /** Bytes that follow a plain answer. */
    bytes: "stand-in-bytes",
    /** "none" for an answer that ends with its connection, "length" for a stream with a length; Node.js chooses by default. */
    framing: "stand-in-framing",
    /** Time after the first part of a plain answer before the rest, in milliseconds. */
    splitMs: "stand-in-split-ms",
    /** Events of a stream before the connection is reset within the next one. */
    resetAfter: "stand-in-reset-after",
    /** Events of a stream before the connection is closed in order within the next one. */
    closeAfter: "stand-in-close-after",
    /** "true" where either comes between two events. */
    betweenEvents: "stand-in-between-events",
} as const;

/** An end of a stream before its last event. */
interface EarlyEnd {
    readonly afterEvents: number;
    readonly withReset: boolean;
    readonly isBetweenEvents: boolean;
    /** Whether HTTP knows no other end of the response, so that it is whole. */
    readonly isWhole: boolean;
}

const getEarlyEnd = (headers: IncomingHttpHeaders): EarlyEnd => {
    const { framing, resetAfter, closeAfter, betweenEvents } = STAND_IN_HEADERS;
    const withReset = headers[resetAfter] !== undefined;
    const isBetweenEvents = headers[betweenEvents] === "true";
    return {
        afterEvents: Number(headers[resetAfter] ?? headers[closeAfter] ?? Infinity),
        withReset,
        isBetweenEvents,
        isWhole: isBetweenEvents && !withReset && headers[framing] === "none",
    };
};

/** How a target works. */
export interface PlatformTargetOptions {
    readonly id: string;
    readonly service: string;
    readonly zone?: string;
    /** Version of its software; it is in each event if given. "v1" is announced otherwise. */
    readonly version?: string;
    /** Events of a stream; 0 for a plain service. */
    readonly events?: number;
    /** Time for each event or for the whole answer, in milliseconds. */
    readonly stepMs?: number;
    /** Crashes the target when it begins an answer to a prompt with this part. */
    readonly deadlyPart?: string;
    /** Crashes the target when it runs a request with this body. */
    readonly deadlyBody?: string;
    /** Events of a deadly request's answer that are sent before the crash; none by default. */
    readonly eventsBeforeCrash?: number;
    /** Time from a crash to the next start, in milliseconds. */
    readonly downMs?: number;
    /** Tokens that its memory can hold, by its load reports; without them it reports no load. */
    readonly capacityTokens?: number;
}

/** Time from a crash to the next start where none is given, in milliseconds. */
const DEFAULT_DOWN_MS = 1_500;

const DEFAULT_STEP_MS = 2;

const REPORT_PATH = "/ospreyreel/report";

const SLOTS = 8;

const DEFAULT_VERSION = "v1";

/** Window in which a brittle target counts its rejections, in milliseconds. */
const BRITTLE_WINDOW_MS = 1_000;

/** A response that belongs to no request any more. */
export interface StrayRefusal {
    readonly status: 421 | 429 | 503;
    /** Id of the request that it once answered; left out by some. */
    readonly id?: string;
}

const encodeStrayRefusal = ({ status, id }: StrayRefusal): string =>
    [
        `HTTP/1.1 ${status} Refused`,
        ...(id === undefined ? [] : [`Attempt-Id: ${id}`]),
        "Not-Executed: full",
        "Content-Length: 0",
        "",
        "",
    ].join("\r\n");

/** Makes the end of the connection the end of a response. */
const delimitByClose = (res: ServerResponse): void => {
    res.useChunkedEncodingByDefault = false;
    res.shouldKeepAlive = false;
};

/** A run while the target is at work on it. */
type RunRecord = { -readonly [K in keyof RunRequest]: RunRequest[K]; };

/** A worker of the users' platform, by its published protocol. */
export class PlatformTargetStandIn {
    private readonly runs: RunRecord[] = [];
    /** Monotonic times of its crashes, in milliseconds. */
    readonly crashedAtMs: number[] = [];
    /** Requests a second that it names as its limit in its responses; undefined where it names none. */
    limitPerS: number | undefined;
    /** Rejections a second for want of room beyond which it crashes; it says so. Undefined while it is not brittle. */
    brittleAt: number | undefined;
    /** Requests that it has room for; it rejects further ones. */
    room = Number.POSITIVE_INFINITY;
    /** Whether it says in its responses that it leaves, beside what its entry says. */
    isLeaving = false;
    /** Time for which it wants nothing from an instance whose request it rejects, in seconds; undefined while it rejects none. */
    rejectsForS: number | undefined;
    /** An earlier refusal that it writes once more before each of its answers; undefined while it writes none. */
    strayRefusal: StrayRefusal | undefined;
    /** Status with which it answers the continuation of a stream, with a text that is no stream; undefined while it continues them. */
    resumeStatus: number | undefined;
    /** Monotonic times of the requests that it rejected, in milliseconds. */
    readonly rejectedAtMs: number[] = [];
    /** Monotonic time until which it is cold and says so, in milliseconds. */
    coldUntilMs = Number.NEGATIVE_INFINITY;
    /** Version of its software in this start; undefined where its events name none. */
    version: string | undefined;
    /** Number of its load reports that were read. */
    reportReads = 0;
    /** Tokens that each request holds, by its load reports. */
    tokensEach = 90;
    /** Called after each start that follows a crash. */
    onRestart: () => void = () => undefined;
    private onRunEnd: () => void = () => undefined;
    private server: JsonServer | undefined;
    private stopped = false;
    /** Unix time of this start in milliseconds; tells it from earlier ones under the same id. */
    private born = 0;
    /** Id from its next start on; undefined while it keeps the one of its options. */
    private newId: string | undefined;

    constructor(private readonly opts: PlatformTargetOptions) {
        this.version = opts.version;
    }

    /** Requests that it ran, in all its starts. */
    get ran(): readonly RunRequest[] {
        return this.runs;
    }

    /** Id of the target. */
    get id(): string {
        return this.newId ?? this.opts.id;
    }

    /** Where it listens. */
    get address(): Address {
        return this.server?.address ?? { host: "", port: 0 };
    }

    /** Listens on a free port. */
    async start(): Promise<void> {
        this.stopped = false;
        this.server = await startJsonServer((req, res) => this.answer(req, res));
        this.born = Math.max(Date.now(), this.born + 1);
    }

    /** Gives it another id while it does not listen. */
    rename(id: string): void {
        this.newId = id;
    }

    /** Stops listening and cuts what runs as the kernel does for a killed process: what is sent arrives, and connections end in order. */
    async close(): Promise<void> {
        this.stopped = true;
        this.endRuns();
        await this.server?.close();
    }

    /** Resolves as soon as nothing runs any more. */
    async drain(): Promise<void> {
        await new Promise<void>(resolve => {
            this.onRunEnd = () => {
                if (this.runs.every(run => run.end !== undefined)) {
                    resolve();
                }
            };
            this.onRunEnd();
        });
    }

    /** Closes all connections, refuses new ones for a time and starts again. */
    async crash(): Promise<void> {
        const { server } = this;
        if (server === undefined) {
            return;
        }
        this.server = undefined;
        this.crashedAtMs.push(performance.now());
        this.endRuns();
        await server.close();
        await sleep(this.opts.downMs ?? DEFAULT_DOWN_MS);
        if (!this.stopped) {
            await this.start();
            this.onRestart();
        }
    }

    /** Key and value of its entry in the store; it names another address where a proxy stands before the target. */
    getEntry(state: "ready" | "draining" = "ready", address = this.address): readonly [string, unknown] {
        const { service, zone = "zone-a" } = this.opts;
        const { id, version = DEFAULT_VERSION } = this;
        return [`servers/${id}`, {
            service,
            address: `${address.host}:${address.port}`,
            zone,
            version,
            slots: SLOTS,
            state,
            coldRemainingMs: this.coldRemainingMs,
            seq: 1,
            born: this.born,
        }];
    }

    private get coldRemainingMs(): number {
        return Math.max(0, Math.round(this.coldUntilMs - performance.now()));
    }

    private async answer(req: IncomingMessage, res: ServerResponse): Promise<void> {
        if (req.url === REPORT_PATH && this.opts.capacityTokens !== undefined) {
            this.answerReport(res, this.opts.capacityTokens);
            return;
        }
        const body = await readText(req);
        const id = String(req.headers["attempt-id"]);
        if (req.headers["expect-instance"] !== this.id) {
            res.writeHead(421, { "Attempt-Id": id, "Instance-Id": this.id }).end();
            return;
        }
        if (this.rejectsForS !== undefined) {
            this.rejectedAtMs.push(performance.now());
            res.writeHead(503, { "Attempt-Id": id, "Not-Executed": "full", "Retry-After": this.rejectsForS.toFixed(1) })
                .end();
            return;
        }
        const brittle = this.brittleAt === undefined ? {} : { "Server-Brittle": String(this.brittleAt) };
        if (this.runs.filter(run => run.end === undefined).length >= this.room) {
            await this.rejectForRoom(res, { "Attempt-Id": id, ...brittle });
            return;
        }
        if (this.strayRefusal !== undefined) {
            req.socket.write(encodeStrayRefusal(this.strayRefusal));
        }
        if (this.resumeStatus !== undefined && req.headers["last-event-id"] !== undefined) {
            res.writeHead(this.resumeStatus, { "Attempt-Id": id, "Response-Seal": `seal-${this.id}` })
                .end("error: the stream is not known\n\n");
            return;
        }
        const parts = String(req.headers["prompt-prefix"] ?? "").split(",").map(part => part.split(":")[0] ?? "");
        const run = this.recordRun(req, res, { body, parts });
        const { events = 0, deadlyPart, deadlyBody } = this.opts;
        const { version = "" } = this;
        const isDeadly = deadlyBody !== undefined && body === deadlyBody
            || deadlyPart !== undefined && parts.slice(0, -1).includes(deadlyPart);
        const stepMs = Number(req.headers[STAND_IN_HEADERS.stepMs] ?? this.opts.stepMs ?? DEFAULT_STEP_MS);
        const limit = this.limitPerS === undefined ? {} : { "Server-Limit": String(this.limitPerS) };
        const leaving = this.isLeaving ? { "Server-Leaving": "1" } : {};
        const headers = { "Attempt-Id": id, "Response-Seal": `seal-${this.id}`, ...limit, ...leaving, ...brittle };
        const framing = req.headers[STAND_IN_HEADERS.framing];
        if (framing === "none") {
            delimitByClose(res);
        }
        if (events === 0) {
            await sleep(stepMs);
            if (isDeadly) {
                await this.crash();
                return;
            }
            const padding = "x".repeat(Number(req.headers[STAND_IN_HEADERS.bytes] ?? 0));
            const splitMs = Number(req.headers[STAND_IN_HEADERS.splitMs] ?? 0);
            res.writeHead(200, headers);
            if (splitMs > 0) {
                res.write(`answer to ${id}`);
                await sleep(splitMs);
            }
            res.end(splitMs > 0 ? padding : `answer to ${id}${padding}`);
            return;
        }
        const createEvent = (at: number): string => `id: ${at}\ndata: ${[id, version].join(" ").trim()}\n\n`;
        const first = Number(req.headers["last-event-id"] ?? 0) + 1;
        const left = Array.from({ length: Math.max(0, events - first + 1) }, (_, at) => createEvent(first + at));
        const length = framing === "length" ? { "Content-Length": Buffer.byteLength(left.join("")) } : {};
        res.writeHead(200, { ...headers, ...length, "Content-Type": "text/event-stream" });
        const early = getEarlyEnd(req.headers);
        for (let at = first; at <= events && !res.destroyed; at++) {
            await sleep(stepMs);
            if (at - first >= early.afterEvents) {
                this.endEarly(run, res, early, at - 1);
                return;
            }
            if (isDeadly && at - first >= (this.opts.eventsBeforeCrash ?? 0)) {
                await this.crash();
                return;
            }
            res.write(createEvent(at));
        }
        res.end();
    }

    private endEarly(
        run: RunRecord,
        res: ServerResponse,
        { withReset, isBetweenEvents, isWhole }: EarlyEnd,
        lastEvent: number,
    ): void {
        const { socket } = res;
        const atMs = performance.now();
        run.end = isWhole ? { atMs, how: "complete", lastEvent } : { atMs, how: "brokenOff" };
        const end = (): void => void (withReset ? socket?.resetAndDestroy() : socket?.end());
        if (isBetweenEvents) {
            res.flushHeaders();
            end();
            return;
        }
        res.write(`id: ${lastEvent + 1}\nda`, end);
    }

    private answerReport(res: ServerResponse, kvTotal: number): void {
        this.reportReads += 1;
        const open = this.runs.filter(run => run.end === undefined).length;
        const running = Math.min(SLOTS, open);
        const report = { model: "m", queued: open - running, running, kvUsed: this.tokensEach * open, kvTotal };
        res.writeHead(200, { "Content-Type": "application/json" }).end(JSON.stringify(report));
    }

    private async rejectForRoom(res: ServerResponse, headers: OutgoingHttpHeaders): Promise<void> {
        const nowMs = performance.now();
        this.rejectedAtMs.push(nowMs);
        res.writeHead(503, { ...headers, "Not-Executed": "full" }).end();
        const rejections = this.rejectedAtMs.filter(atMs => nowMs - atMs < BRITTLE_WINDOW_MS).length;
        if (this.brittleAt !== undefined && rejections > this.brittleAt) {
            await this.crash();
        }
    }

    private endRuns(): void {
        const end: RunEnd = { atMs: performance.now(), how: "crashed" };
        this.runs.filter(run => run.end === undefined).forEach(run => run.end = end);
    }

    private recordRun(
        req: IncomingMessage,
        res: ServerResponse,
        { body, parts }: Pick<RunRequest, "body" | "parts">,
    ): RunRecord {
        const run: RunRecord = {
            id: String(req.headers["attempt-id"]),
            team: req.headers["tenant"]?.toString(),
            path: req.url ?? "",
            body,
            waitsMs: Number(req.headers["deadline-ms"]),
            hadKey: req.headers.authorization !== undefined,
            target: this.id,
            parts,
            atMs: performance.now(),
            end: undefined,
        };
        this.runs.push(run);
        res.once("close", () => {
            run.end ??= { atMs: performance.now(), how: res.writableFinished ? "complete" : "disconnected" };
            this.onRunEnd();
        });
        return run;
    }
}
