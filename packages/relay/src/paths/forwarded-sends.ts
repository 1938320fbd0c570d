import type { PeerHub } from "@ospreyreel/peer";
import type { ForwardedBody, ForwardedHead, ForwardedSend, InstanceInfo, TargetNotes } from "@ospreyreel/types";
import type { RelayLog } from "../relay-log.js";
import type { RelayRequest } from "../relay-request.js";
import type { TargetDirectory } from "../targets/target-directory.js";
import type { TargetNoteRecorder } from "../targets/target-note-recorder.js";
import type { TargetOutcome, TargetPort } from "../targets/target-port.js";
import type { TargetState } from "../targets/target-state.js";
import type { Target } from "../targets/target.js";
import type { TargetPaths } from "./target-paths.js";

/** Options of {@link ForwardedSends}. */
export interface ForwardedSendsOptions {
    readonly hub: PeerHub;
    readonly directory: Pick<TargetDirectory, "findStart">;
    readonly paths: Pick<TargetPaths, "isDirect">;
    readonly notes: Pick<TargetNoteRecorder, "record">;
    /** Sends on connections of this instance only, so that no send is forwarded twice. */
    readonly direct: TargetPort;
    /** Whether this instance may send for peers: it neither leaves nor has too much to do for its own callers. */
    readonly isAccepting: () => boolean;
    /** Maximum number of this instance's connections to one target of a service. */
    readonly getConnectionLimit: (service: string) => number;
    /** Whether anything may be sent to a target at the moment; always by default. */
    readonly isSendAllowed?: (target: Target) => boolean;
    readonly log: RelayLog;
    /** Adds one to a counter. */
    readonly count: (name: string) => void;
}

/** Time beyond the request's own in which its sender may take a part of a response, in milliseconds. */
const PART_MARGIN_MS = 1_000;

/** One send that this instance makes for a peer. */
interface RunningSend {
    readonly from: string;
    readonly controller: AbortController;
    /** Resolves once the response has been passed on, or cannot be. */
    readonly ended: Promise<void>;
}

/**
 * Sends of peers that are disconnected from targets. The sender keeps the request's budget, time, retries and permits; this
 * instance only lends its connection, by what it knows of the target itself.
 */
export class ForwardedSends {
    private readonly running = new Map<string, RunningSend>();

    constructor(private readonly opts: ForwardedSendsOptions) {}

    /** Number of sends in progress. */
    get size(): number {
        return this.running.size;
    }

    /** Starts accepting sends of peers. */
    serve(): void {
        const { hub } = this.opts;
        hub.handle("sends.forward", (req, from) => this.forward(req, from));
        hub.handle("sends.cancel", ({ send }, { incarnation }) => {
            this.running.get(`${incarnation}/${send}`)?.controller.abort();
            return Promise.resolve({});
        });
        hub.handle("sends.watch", async ({ send }, { incarnation }) => {
            await this.running.get(`${incarnation}/${send}`)?.ended;
            return {};
        });
        void hub.changes().observe(({ kind, info }) => {
            if (kind === "lost") {
                [...this.running.values()].filter(({ from }) => from === info.incarnation)
                    .forEach(({ controller }) => controller.abort());
            }
        });
    }

    private async forward(req: ForwardedSend, from: InstanceInfo): Promise<ForwardedHead> {
        const state = this.opts.directory.findStart(req.target);
        const refusal = this.getRefusal(state);
        if (state === undefined || refusal !== undefined) {
            return { kind: "not_sent", cause: refusal ?? "the target is not known here" };
        }
        this.opts.count("forwarded_sends");
        const controller = new AbortController();
        const timer = setTimeout(() => controller.abort(), req.leftMs);
        const key = `${from.incarnation}/${req.send}`;
        let resolveEnded = (): void => undefined;
        const ended = new Promise<void>(resolve => {
            resolveEnded = resolve;
        });
        this.running.set(key, { from: from.incarnation, controller, ended });
        state.inFlight += 1;
        const end = (): void => {
            clearTimeout(timer);
            this.running.delete(key);
            state.inFlight -= 1;
            resolveEnded();
        };
        const outcome = await this.opts.direct.send({
            req: toRelayRequest(req),
            target: state.target,
            team: req.team,
            leftMs: req.leftMs,
            urgency: req.urgency,
            afterEvent: req.afterEvent,
            isRepeatable: req.isRepeatable,
            signal: controller.signal,
            mayStart: () => this.mayStart(state),
        });
        this.opts.notes.record(state.target, outcome);
        if (outcome.kind === "answer") {
            void this.passBody(outcome.body, req, from).finally(end);
        }
        else {
            end();
        }
        return toHead(outcome);
    }

    private mayStart(state: TargetState): boolean {
        return state.isAccepting(performance.now()) && this.opts.isSendAllowed?.(state.target) !== false;
    }

    private getRefusal(state: TargetState | undefined): string | undefined {
        const { paths, isAccepting, getConnectionLimit } = this.opts;
        if (state === undefined || !this.mayStart(state)) {
            return "the target is not known here, leaves, is evacuated, or wants nothing from the peer";
        }
        if (!paths.isDirect(state.target)) {
            return "the peer is disconnected from the target as well";
        }
        return !isAccepting() || state.inFlight >= getConnectionLimit(state.target.service)
            ? "the peer has no room for sends of others"
            : undefined;
    }

    /** Passes a body on in order, no faster than the sender takes it. Does not throw. */
    private async passBody(
        body: AsyncIterable<Buffer>,
        { send, leftMs }: ForwardedSend,
        from: InstanceInfo,
    ): Promise<void> {
        const pass = async (part: Omit<ForwardedBody, "send">): Promise<boolean> => {
            const { incarnation } = from;
            const res = await this.opts.hub.request(
                incarnation,
                "sends.body",
                { send, ...part },
                leftMs + PART_MARGIN_MS,
            );
            return res.isWanted;
        };
        try {
            const cause = await this.passChunks(body, chunk => pass({ chunk, end: undefined }));
            await pass({ chunk: undefined, end: { cause } });
        }
        catch (err) {
            this.opts.log.write("response not forwarded", { peer: from.instance, cause: String(err) });
        }
    }

    /** Returns why the body broke off; undefined where it is complete. Throws where the sender is not reached. */
    private async passChunks(
        body: AsyncIterable<Buffer>,
        pass: (chunk: Buffer) => Promise<boolean>,
    ): Promise<string | undefined> {
        const chunks = body[Symbol.asyncIterator]();
        for (;;) {
            let next: IteratorResult<Buffer>;
            try {
                next = await chunks.next();
            }
            catch (err) {
                return err instanceof Error ? err.message : String(err);
            }
            if (next.done === true) {
                return undefined;
            }
            let isWanted = false;
            try {
                isWanted = await pass(next.value);
            }
            finally {
                if (!isWanted) {
                    // Ends the exchange with the target, also where the sender is not reached.
                    await chunks.return?.();
                }
            }
            if (!isWanted) {
                return "the response is not wanted any more";
            }
        }
    }
}

const toRelayRequest = ({ id, host, method, path, headers, body }: ForwardedSend): RelayRequest => ({
    id,
    host,
    method,
    path,
    headers,
    body: Buffer.from(body),
    teamKey: undefined,
    waitsMs: undefined,
    arrivedAtMs: performance.now(),
    generation: undefined,
    lastEventId: undefined,
    resumes: undefined,
});

/** Notes that hold for all instances; a pause is asked of the one that sent. */
const getSharedNotes = ({ notes }: { readonly notes?: TargetNotes; }): TargetNotes => ({
    ...notes,
    pauseMs: undefined,
});

const toHead = (outcome: TargetOutcome): ForwardedHead => {
    switch (outcome.kind) {
        case "not_sent":
        case "failed":
            return outcome;
        case "not_run":
            return { kind: "not_run", reason: outcome.reason, notes: getSharedNotes(outcome) };
        case "answer": {
            const { status, headers, isFramed } = outcome.head;
            return { kind: "answer", status, headers, isFramed, notes: getSharedNotes(outcome) };
        }
    }
};
