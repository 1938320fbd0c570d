import { once } from "node:events";
import { connect } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { request } from "undici";
import type { PlatformFleet, PlatformInstance } from "./platform-fleet.js";

/** Body that takes long to read in relation to sending it, in bytes; below the limit of the desired state. */
const BODY = Buffer.alloc(900_000, "x");

const UPLOADERS = 8;

/** Time in which an instance hands connections off, or keeps them again, on a busy machine; in milliseconds. */
const CHANGE_MS = 20_000;

/** What the state dump of an instance says of handed-off connections and of its requests at targets. */
export interface HandoffState {
    readonly targets: readonly { readonly id: string; readonly inFlight: number; }[];
    readonly handoff: { readonly helper?: string; readonly connections: Readonly<Record<string, number>>; };
}

/** An instance under load whose callers another one serves. */
export interface LoadedInstance {
    /** Undefined where no instance has agreed in time. */
    readonly helper: PlatformInstance | undefined;
    readonly endLoad: () => Promise<void>;
}

/** Reads the state dump of an instance. */
export const getState = async ({ metrics }: PlatformInstance): Promise<HandoffState> =>
    await (await request(`http://${metrics}/state`)).body.json() as HandoffState;

/** Time after which a refused connection is tried again, in milliseconds. */
const RETRY_MS = 50;

/** Sends a large request for which there is no route, on a connection of its own, and reads the response. */
const upload = async ({ callers }: PlatformInstance, id: string): Promise<void> => {
    const [host = "", port = ""] = callers.split(":");
    let isConnected = false;
    const socket = connect(Number(port), host).on("error", () => undefined)
        .once("connect", () => isConnected = true);
    const head = ["POST /none/ HTTP/1.1", "Host: users.example", `Attempt-Id: ${id}`, "Authorization: Bearer key-1"];
    socket.write(`${[...head, "Connection: close", `Content-Length: ${BODY.length}`].join("\r\n")}\r\n\r\n`);
    socket.write(BODY);
    socket.resume();
    await once(socket, "close").catch(() => undefined);
    await sleep(isConnected ? 0 : RETRY_MS);
};

/** Waits for a condition, as long as a busy machine may need; resolves whether it was met. */
export const until = async (check: () => Promise<boolean>): Promise<boolean> => {
    const endsAtMs = performance.now() + CHANGE_MS;
    while (performance.now() < endsAtMs) {
        if (await check()) {
            return true;
        }
        await sleep(50);
    }
    return false;
};

/** Gives an instance more to read than it has time for; returns a function that ends the load. */
export const loadInstance = (busy: PlatformInstance): () => Promise<void> => {
    let isLoaded = true;
    const uploaders = Array.from({ length: UPLOADERS }, async (_, uploader) => {
        for (let turn = 0; isLoaded; turn++) {
            await upload(busy, `upload-${uploader}-${turn}`);
        }
    });
    return async () => {
        isLoaded = false;
        await Promise.all(uploaders);
    };
};

/** Loads an instance until another one serves its callers; returns that one and a function that ends the load. */
export const loadUntilHandedOff = async (fleet: PlatformFleet, busy: PlatformInstance): Promise<LoadedInstance> => {
    const endLoad = loadInstance(busy);
    let helper: PlatformInstance | undefined;
    await until(async () => {
        const { handoff } = await getState(busy);
        helper = fleet.instances.find(({ name }) => name === handoff.helper);
        return helper !== undefined;
    });
    return { helper, endLoad };
};
