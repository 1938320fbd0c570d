import type { IncomingMessage } from "node:http";
import type { Socket } from "node:net";

/**
 * Which limit a caller has reached: open connections, the size of one head, what unfinished requests hold in sum, or the time in which a
 * body makes progress.
 */
export type CallerLimit = "connections" | "head" | "reading" | "progress";

/**
 * How far a connection has come: its last response says that it closes, it has brought no byte yet, it waits for its next request, a request
 * arrives on it, or one is being served.
 */
export type ConnectionStage = "closing" | "unused" | "idle" | "reading" | "busy";

/** A connection that was closed since there were too many. */
export interface ClosedConnection {
    /** `new` for one that was closed as soon as it was accepted. */
    readonly stage: ConnectionStage | "new";
    /** Time since it was accepted, in milliseconds. */
    readonly ageMs: number;
    /** Time since it reached its stage, in milliseconds. */
    readonly stageMs: number;
    readonly bytesRead: number;
}

/** Options of {@link CallerGuard}. */
export interface CallerGuardOptions {
    /** Maximum number of open connections. */
    readonly maxConnections: number;
    /**
     * Number of open connections from which requests on new ones are to be refused, unless another one can be closed; `maxConnections` by
     * default.
     */
    readonly maxServedConnections?: number;
    /** Maximum size of what all unfinished requests hold beside the bytes of their bodies, in bytes. */
    readonly maxReadingBytes: number;
    /** Time in which a body must bring bytes, in milliseconds. */
    readonly progressTimeoutMs: number;
    /** Maximum number of bytes on the wire before a head is complete. */
    readonly getMaxHeadBytes: () => number;
    /** Rejects a head and closes its connection; a request before it may still be served. */
    readonly rejectHead: (socket: Socket) => void;
    /** Called for each connection or request that a limit ends. */
    readonly onLimit?: (limit: CallerLimit) => void;
    /** Called for each connection that is closed since there are too many. */
    readonly onClose?: (closed: ClosedConnection) => void;
}

/** Numbers for the state dump. */
export interface CallerGuardView {
    readonly connections: number;
    readonly maxConnections: number;
    /** Connections that have brought no byte yet. */
    readonly unused: number;
    /** Connections that wait for their next request. */
    readonly idle: number;
    /** Requests that have not arrived whole. */
    readonly reading: number;
    readonly readingBytes: number;
    readonly maxReadingBytes: number;
}

/** The reading of one body. */
export interface GuardedBody {
    /** Takes note of how many bytes of the body have arrived, without those that frame them. */
    record(bytes: number): void;
    /** Takes note that the body is no longer read. */
    end(): void;
}

/** Memory for each byte of an unfinished head: a header of seven bytes becomes two strings of 32 bytes each. */
const MEMORY_PER_HEAD_BYTE = 8;

/** Memory for a name or a value of a head that was parsed and decoded, in bytes. */
const MEMORY_PER_HEADER_TEXT = 96;

/**
 * Share of the limit that the framing of one body counts for at most. A body in chunks of one byte is parsed into objects of many times its
 * size, but one within the limits is still served while nothing else is read.
 */
const MAX_FRAMING_SHARE = 1 / 4;

/** Share of the limit that refused requests may hold in addition, while their callers read the responses. */
const CLOSING_SHARE = 1 / 2;

/** Share of the limit from which a head is refused at once where there is no room for it. */
const LARGE_HEAD_SHARE = 1 / 256;

/** Age below which a request is not judged by its rate, and a connection without a request not by its silence, in milliseconds. */
const MIN_JUDGED_MS = 1_000;

/** Share of the connections that may be served from which responses announce the close of theirs. */
const CROWDED_SHARE = 7 / 8;

/** Share of the limit down to which unfinished requests are ended, so that not each further byte ends one. */
const ROOM_AFTER = 7 / 8;

/** Shortest and longest time between two checks for progress, in milliseconds. */
const MIN_CHECK_MS = 50;
const MAX_CHECK_MS = 1_000;

interface Connection {
    readonly socket: Socket;
    readonly openedAtMs: number;
    weight: number;
    stage: ConnectionStage;
    stageSinceMs: number;
    /** Whether it was accepted where there were too many to be served. */
    isBeyondServed: boolean;
    isUsed: boolean;
    isClosing: boolean;
    openExchanges: number;
    /** Bytes since the last complete head, while no body is read. */
    headBytes: number;
    hasHeadInChunk: boolean;
    /** The request whose body is parsed. */
    request: IncomingMessage | undefined;
    /** Ends the reading of the body; undefined while none is read. */
    endBody: ((limit: CallerLimit) => void) | undefined;
    /** What the unfinished request holds, in bytes. */
    memory: number;
    /** What it still holds after it was refused, in bytes. */
    closingMemory: number;
    /** Bytes that it has brought. */
    received: number;
    sinceMs: number;
    progressAtMs: number;
}

/**
 * Limits what callers hold with requests that have not arrived whole, and how many connections they hold open. Where a limit is reached, it ends
 * those first that are of least use: closed by their response, never used, idle, slow.
 */
export class CallerGuard {
    private readonly connections = new Map<Socket, Connection>();
    private readonly stages: Readonly<Record<ConnectionStage, Set<Connection>>> = {
        closing: new Set(),
        unused: new Set(),
        idle: new Set(),
        reading: new Set(),
        busy: new Set(),
    };
    /** Connections that hold the memory of a refused request, the oldest first. */
    private readonly refused = new Set<Connection>();
    private readonly timer: NodeJS.Timeout;
    private readingBytes = 0;
    private closingBytes = 0;
    private openWeight = 0;

    constructor(private readonly opts: CallerGuardOptions) {
        const checkMs = Math.min(MAX_CHECK_MS, Math.max(MIN_CHECK_MS, opts.progressTimeoutMs / 4));
        this.timer = setInterval(() => this.endStalled(), checkMs).unref();
    }

    /** For the state dump. */
    get view(): CallerGuardView {
        const { maxConnections, maxReadingBytes } = this.opts;
        return {
            connections: this.openWeight,
            maxConnections,
            unused: this.stages.unused.size,
            idle: this.stages.idle.size,
            reading: this.stages.reading.size,
            readingBytes: this.readingBytes,
            maxReadingBytes,
        };
    }

    /** Whether responses are to announce the close of their connections, so that fewer have to be closed without one. */
    get isCrowded(): boolean {
        return this.openWeight > this.maxServed * CROWDED_SHARE;
    }

    /**
     * Counts a new connection until it is closed. Where there are too many, another one is closed, or this one; returns whether it is open.
     * `weight` is the number of descriptors that it takes.
     */
    admit(socket: Socket, weight = 1): boolean {
        if (this.connections.has(socket)) {
            return !socket.destroyed;
        }
        const openedAtMs = performance.now();
        const connection: Connection = {
            socket,
            openedAtMs,
            weight,
            stage: "unused",
            stageSinceMs: openedAtMs,
            isBeyondServed: false,
            isUsed: false,
            isClosing: false,
            openExchanges: 0,
            headBytes: 0,
            hasHeadInChunk: false,
            request: undefined,
            endBody: undefined,
            memory: 0,
            closingMemory: 0,
            received: 0,
            sinceMs: 0,
            progressAtMs: 0,
        };
        while (this.openWeight + weight > this.maxServed) {
            const isFull = this.openWeight + weight > this.opts.maxConnections;
            const victim = this.findUnserved() ?? (isFull ? this.findArriving() : undefined);
            if (victim === undefined && !isFull) {
                connection.isBeyondServed = true;
                break;
            }
            this.opts.onLimit?.("connections");
            this.recordClosed(victim ?? connection, victim === undefined ? "new" : victim.stage);
            if (victim === undefined) {
                socket.destroy();
                return false;
            }
            this.close(victim);
        }
        this.connections.set(socket, connection);
        this.stages.unused.add(connection);
        this.openWeight += weight;
        socket.once("close", () => this.forget(connection));
        return true;
    }

    /** Changes the number of descriptors that a connection takes. */
    setWeight(socket: Socket, weight: number): void {
        const connection = this.connections.get(socket);
        if (connection !== undefined) {
            this.openWeight += weight - connection.weight;
            connection.weight = weight;
        }
    }

    /** Whether requests of a connection are to be refused, since there are too many to be served. */
    isBeyondServed(socket: Socket): boolean {
        const connection = this.connections.get(socket);
        if (connection?.isBeyondServed !== true) {
            return false;
        }
        connection.isBeyondServed = this.openWeight > this.maxServed;
        return connection.isBeyondServed;
    }

    /** Counts the bytes of an admitted connection; called once its parser listens. */
    follow(socket: Socket): void {
        const connection = this.connections.get(socket);
        if (connection !== undefined) {
            socket.on("data", (chunk: Buffer) => this.recordBytes(connection, chunk.length));
        }
    }

    /** Takes note that the head of a request is complete. */
    beginRequest(req: IncomingMessage): void {
        const connection = this.connections.get(req.socket);
        if (connection === undefined) {
            return;
        }
        connection.headBytes = 0;
        connection.hasHeadInChunk = true;
        connection.isUsed = true;
        connection.request = req;
        this.setMemory(connection, 0);
        this.updateStage(connection);
    }

    /**
     * Whether a request is refused by its head, before more memory is spent on it: the head is large, there is no room for it, and the unfinished
     * requests that have room came just before it.
     */
    refusesHead({ rawHeaders, socket }: IncomingMessage): boolean {
        const { maxReadingBytes } = this.opts;
        const headMemory = rawHeaders.length * MEMORY_PER_HEADER_TEXT;
        if (headMemory < maxReadingBytes * LARGE_HEAD_SHARE || this.readingBytes + headMemory <= maxReadingBytes) {
            return false;
        }
        const [oldest] = this.stages.reading;
        const isFull = oldest !== undefined && performance.now() - oldest.sinceMs < MIN_JUDGED_MS;
        const connection = this.connections.get(socket);
        if (isFull && connection !== undefined) {
            this.opts.onLimit?.("reading");
            this.setMemory(connection, headMemory);
            this.releaseMemory(connection, false);
        }
        return isFull;
    }

    /** Takes note that a body is read; `end` ends that where a limit is reached, before it returns. */
    beginBody(req: IncomingMessage, end: (limit: CallerLimit) => void): GuardedBody {
        const connection = this.connections.get(req.socket);
        if (connection === undefined || req.complete) {
            return { record: () => undefined, end: () => undefined };
        }
        const headMemory = req.rawHeaders.length * MEMORY_PER_HEADER_TEXT;
        this.startReading(connection);
        connection.endBody = end;
        this.updateStage(connection);
        this.setMemory(connection, headMemory);
        this.makeRoom();
        const isCurrent = (): boolean => connection.endBody === end;
        const maxFraming = this.opts.maxReadingBytes * MAX_FRAMING_SHARE;
        return {
            record: bytes => {
                if (isCurrent()) {
                    const framing = Math.max(0, connection.received - bytes);
                    this.setMemory(connection, headMemory + Math.min(framing, maxFraming));
                    this.makeRoom();
                }
            },
            end: () => {
                if (isCurrent()) {
                    connection.endBody = undefined;
                    this.releaseMemory(connection, req.complete);
                    this.updateStage(connection);
                }
            },
        };
    }

    /** Ends the slowest body that is read, other than a connection's own; returns whether there was one. */
    endSlowestBody(own: Socket): boolean {
        const [slowest] = this.sortReading().filter(it =>
            it.endBody !== undefined && it.socket !== own && performance.now() - it.sinceMs >= MIN_JUDGED_MS
        );
        if (slowest !== undefined) {
            this.endReading(slowest, "reading");
        }
        return slowest !== undefined;
    }

    /** Takes note that a request of the connection is being served, or no longer. */
    countExchange(socket: Socket, change: 1 | -1): void {
        const connection = this.connections.get(socket);
        if (connection !== undefined) {
            connection.openExchanges += change;
            connection.isUsed = true;
            this.updateStage(connection);
        }
    }

    /** Takes note that a connection is only open until its caller has read the last response. */
    markClosing(socket: Socket): void {
        const connection = this.connections.get(socket);
        if (connection !== undefined) {
            connection.isClosing = true;
            this.releaseMemory(connection, false);
            this.updateStage(connection);
        }
    }

    /** Stops the checks for progress. */
    stop(): void {
        clearInterval(this.timer);
    }

    private recordBytes(connection: Connection, bytes: number): void {
        connection.progressAtMs = performance.now();
        if (connection.isClosing) {
            return;
        }
        if (connection.hasHeadInChunk || connection.request !== undefined) {
            connection.received += connection.hasHeadInChunk ? 0 : bytes;
            connection.hasHeadInChunk = false;
            if (connection.request?.complete === true) {
                connection.request = undefined;
            }
            return;
        }
        if (connection.headBytes === 0) {
            this.startReading(connection);
            connection.isUsed = true;
        }
        connection.headBytes += bytes;
        connection.received = connection.headBytes;
        if (connection.headBytes > this.opts.getMaxHeadBytes()) {
            this.opts.onLimit?.("head");
            this.opts.rejectHead(connection.socket);
            return;
        }
        this.setMemory(connection, connection.headBytes * MEMORY_PER_HEAD_BYTE);
        this.updateStage(connection);
        this.makeRoom();
    }

    private startReading(connection: Connection): void {
        connection.sinceMs = performance.now();
        connection.progressAtMs = connection.sinceMs;
        connection.received = 0;
    }

    /** Ends unfinished requests if they hold too much, until the rest has room. */
    private makeRoom(): void {
        if (this.readingBytes <= this.opts.maxReadingBytes) {
            return;
        }
        const room = this.opts.maxReadingBytes * ROOM_AFTER;
        for (const connection of this.sortReading()) {
            if (this.readingBytes <= room) {
                return;
            }
            if (connection.memory > 0) {
                this.endReading(connection, "reading");
            }
        }
    }

    /** Closes connections whose requests were refused if they hold too much, the oldest first. */
    private makeClosingRoom(): void {
        for (const connection of this.refused) {
            if (this.closingBytes <= this.opts.maxReadingBytes * CLOSING_SHARE) {
                return;
            }
            // Many are refused in one turn of the event loop, before the first of their responses counts as sent.
            if (connection.openExchanges <= 1) {
                this.close(connection);
            }
        }
    }

    /** Unfinished requests, the slowest first of those that can be judged, then the one with most memory. */
    private sortReading(): readonly Connection[] {
        const nowMs = performance.now();
        const getRate = ({ sinceMs, received }: Connection): number =>
            nowMs - sinceMs >= MIN_JUDGED_MS ? received / (nowMs - sinceMs) : Infinity;
        return [...this.stages.reading]
            .map(connection => ({ connection, rate: getRate(connection) }))
            .sort((a, b) => a.rate === b.rate ? b.connection.memory - a.connection.memory : a.rate - b.rate)
            .map(({ connection }) => connection);
    }

    private endReading(connection: Connection, limit: CallerLimit): void {
        this.opts.onLimit?.(limit);
        const { endBody } = connection;
        connection.endBody = undefined;
        this.releaseMemory(connection, false);
        if (endBody !== undefined) {
            endBody(limit);
            this.updateStage(connection);
        }
        else if (connection.openExchanges === 0) {
            // Only the end of the connection frees what the parser holds.
            this.close(connection);
        }
    }

    private endStalled(): void {
        const stalledSinceMs = performance.now() - this.opts.progressTimeoutMs;
        [...this.stages.reading]
            .filter(({ endBody, progressAtMs }) => endBody !== undefined && progressAtMs < stalledSinceMs)
            .forEach(connection => this.endReading(connection, "progress"));
    }

    private get maxServed(): number {
        return this.opts.maxServedConnections ?? this.opts.maxConnections;
    }

    /** Finds the connection of least use of those without a request that has just arrived, or may arrive in a moment. */
    private findUnserved(): Connection | undefined {
        const judgedFromMs = performance.now() - MIN_JUDGED_MS;
        const { closing, idle, unused } = this.stages;
        return findFirst(closing, hasSentAll)
            ?? findFirst(unused, it => hasReadNothing(it) && it.openedAtMs <= judgedFromMs)
            ?? findFirst(idle, hasSentAll)
            ?? this.findReading(({ sinceMs }) => sinceMs <= judgedFromMs);
    }

    /** Finds the connection of least use of those whose request has not arrived whole. */
    private findArriving(): Connection | undefined {
        return findFirst(this.stages.unused, hasReadNothing) ?? this.findReading(() => true) ?? this.findStalled();
    }

    private findReading(matches: (connection: Connection) => boolean): Connection | undefined {
        return this.stages.reading.size === 0
            ? undefined
            : this.sortReading().find(it => (it.openExchanges === 0 || it.endBody !== undefined) && matches(it));
    }

    /** Finds a connection whose caller has not read its response for too long. */
    private findStalled(): Connection | undefined {
        const stalledSinceMs = performance.now() - this.opts.progressTimeoutMs;
        return [...this.stages.closing, ...this.stages.idle].find(({ stageSinceMs }) => stageSinceMs <= stalledSinceMs);
    }

    private recordClosed({ openedAtMs, stageSinceMs, socket }: Connection, stage: ClosedConnection["stage"]): void {
        const nowMs = performance.now();
        const { bytesRead } = socket;
        this.opts.onClose?.({ stage, ageMs: nowMs - openedAtMs, stageMs: nowMs - stageSinceMs, bytesRead });
    }

    private close(connection: Connection): void {
        this.forget(connection);
        connection.socket.destroy();
    }

    private forget(connection: Connection): void {
        if (this.connections.delete(connection.socket)) {
            this.setMemory(connection, 0);
            this.closingBytes -= connection.closingMemory;
            this.refused.delete(connection);
            this.stages[connection.stage].delete(connection);
            this.openWeight -= connection.weight;
        }
    }

    private setMemory(connection: Connection, memory: number): void {
        this.readingBytes += memory - connection.memory;
        connection.memory = memory;
    }

    /** Takes note that a request is no longer read; its connection holds the memory on if it did not arrive whole. */
    private releaseMemory(connection: Connection, isWhole: boolean): void {
        if (!isWhole && connection.memory > 0 && this.connections.has(connection.socket)) {
            this.refused.add(connection);
            connection.closingMemory += connection.memory;
            this.closingBytes += connection.memory;
        }
        this.setMemory(connection, 0);
        this.makeClosingRoom();
    }

    private updateStage(connection: Connection): void {
        const stage = getStage(connection);
        if (stage === connection.stage || !this.connections.has(connection.socket)) {
            return;
        }
        this.stages[connection.stage].delete(connection);
        this.stages[stage].add(connection);
        connection.stage = stage;
        connection.stageSinceMs = performance.now();
    }
}

/** Whether the last response was sent whole; a close would cut it otherwise. */
const hasSentAll = ({ socket }: Connection): boolean => socket.writableLength === 0;

/** Whether no byte was read; a request may have been read whole on a connection that is being handed off. */
const hasReadNothing = ({ socket }: Connection): boolean => socket.bytesRead === 0;

const findFirst = (
    connections: ReadonlySet<Connection>,
    matches: (connection: Connection) => boolean,
): Connection | undefined => {
    for (const connection of connections) {
        if (matches(connection)) {
            return connection;
        }
    }
    return undefined;
};

const getStage = ({ isClosing, endBody, openExchanges, headBytes, isUsed }: Connection): ConnectionStage => {
    if (endBody !== undefined) {
        return "reading";
    }
    if (openExchanges > 0) {
        return "busy";
    }
    if (isClosing) {
        return "closing";
    }
    if (headBytes > 0) {
        return "reading";
    }
    return isUsed ? "idle" : "unused";
};
