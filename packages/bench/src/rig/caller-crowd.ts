import type { Address } from "@ospreyreel/types";
import { connect, type Socket } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";

/** What each caller of a crowd does on a connection of its own. */
export interface CrowdCase {
    readonly name: string;
    readonly callers: number;
    /** What is sent once, by the request line and headers that the port accepts, without the empty line behind them. */
    readonly createBytes: (head: string) => Buffer;
    /** What is sent again and again afterwards; nothing by default. */
    readonly repeated?: Buffer;
    /** Descriptors that the process may have open; as many as the instances of the users' sites have, or fewer. */
    readonly descriptors: number;
    /** Whether every second caller resets its connection once all have connected. */
    readonly leavesEarly?: boolean;
}

/** Of the smallest instances, and a lower limit that a small crowd can reach. */
const DESCRIPTORS = 2_212;
const FEW_DESCRIPTORS = 512;

/** Of most instances with little memory. */
const USUAL_DESCRIPTORS = 4_100;

const CHUNKED = "Transfer-Encoding: chunked\r\n\r\n";

/** Below the body limits of the tests' settings; the last chunk of no body is sent. */
const LARGE_CHUNKS = 13;
const LARGE_CHUNK_BYTES = 65_536;
const SMALL_CHUNKS = 60_000;
/** More than any limit on heads. */
const LARGE_HEAD_BYTES = 60_000;
/** Below the limit on heads; each header becomes two strings, which take several times their bytes. */
const SMALL_HEADERS = 1_900;
const BLOCK_BYTES = 16_384;

const SMALL_HEADER_LINES = Array.from(
    { length: SMALL_HEADERS },
    (_, at) => `h${at.toString(36)}:v${at.toString(36)}\r\n`,
)
    .join("");

const LARGE_CHUNK = `${LARGE_CHUNK_BYTES.toString(16)}\r\n${"x".repeat(LARGE_CHUNK_BYTES)}\r\n`;

/** Ways in which callers brought down a process. The numbers of callers stay far below those that a port has seen. */
export const CROWD_CASES: readonly CrowdCase[] = [
    {
        name: "bodies in large chunks that stop before their end",
        callers: 150,
        descriptors: DESCRIPTORS,
        createBytes: head => Buffer.from(`${head}${CHUNKED}${LARGE_CHUNK.repeat(LARGE_CHUNKS)}`),
    },
    {
        name: "bodies in chunks of one byte that stop before their end",
        callers: 150,
        descriptors: DESCRIPTORS,
        createBytes: head => Buffer.from(`${head}${CHUNKED}${"1\r\nx\r\n".repeat(SMALL_CHUNKS)}`),
    },
    {
        name: "heads over the limit",
        callers: 300,
        descriptors: DESCRIPTORS,
        createBytes: head => Buffer.from(`${head}x: ${"y".repeat(LARGE_HEAD_BYTES)}`),
    },
    {
        name: "heads of small headers that do not end",
        callers: 1_500,
        descriptors: DESCRIPTORS,
        createBytes: head => Buffer.from(`${head}${SMALL_HEADER_LINES}`),
    },
    {
        name: "heads without end on more connections than most instances accept",
        callers: 3_000,
        descriptors: USUAL_DESCRIPTORS,
        createBytes: head => Buffer.from(head.slice(0, -1)),
    },
    {
        name: "heads of small headers whose bodies stop before their end",
        callers: 1_500,
        descriptors: DESCRIPTORS,
        createBytes: head => Buffer.from(`${head}${SMALL_HEADER_LINES}${CHUNKED}1\r\nx\r\n`),
    },
    {
        name: "empty lines without end before a request",
        callers: 100,
        descriptors: DESCRIPTORS,
        createBytes: () => Buffer.from("\r\n"),
        repeated: Buffer.from("\r\n".repeat(BLOCK_BYTES / 2)),
    },
    {
        name: "more connections than descriptors, half of which leave early",
        callers: 1_000,
        descriptors: FEW_DESCRIPTORS,
        createBytes: head => Buffer.from(head.slice(0, 1)),
        leavesEarly: true,
    },
];

/** Time for which the callers of a crowd send before an ordinary request is made beside them, in milliseconds. */
const SENDING_MS = 3_000;

/** Pause between the repeated blocks of one caller, in milliseconds. */
const REPEAT_PAUSE_MS = 5;

/** Callers that keep their connections open, whatever the port responds, until they are closed. */
export class CallerCrowd {
    private readonly sockets: Socket[] = [];

    /** Connects all callers and has them send for some seconds. */
    static async start({ host, port }: Address, head: string, crowdCase: CrowdCase): Promise<CallerCrowd> {
        const crowd = new CallerCrowd();
        const bytes = crowdCase.createBytes(head);
        for (let at = 0; at < crowdCase.callers; at++) {
            const socket = connect({ host, port, allowHalfOpen: true }).on("error", () => undefined).resume();
            socket.write(bytes);
            crowd.sockets.push(socket);
            if (crowdCase.repeated !== undefined) {
                void sendRepeatedly(socket, crowdCase.repeated);
            }
        }
        await sleep(SENDING_MS);
        if (crowdCase.leavesEarly === true) {
            crowd.sockets.filter((_, at) => at % 2 === 0).forEach(socket => socket.resetAndDestroy());
        }
        return crowd;
    }

    /** Closes what is still open. */
    close(): void {
        this.sockets.forEach(socket => socket.destroy());
    }
}

const sendRepeatedly = async (socket: Socket, block: Buffer): Promise<void> => {
    while (!socket.destroyed && socket.writable) {
        if (socket.writableNeedDrain) {
            await new Promise(resolve => socket.once("drain", resolve).once("close", resolve));
        }
        socket.write(block);
        await sleep(REPEAT_PAUSE_MS);
    }
};
