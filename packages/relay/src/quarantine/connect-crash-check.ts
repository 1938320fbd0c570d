import { createConnection } from "node:net";
import type { Target } from "../targets/target.js";
import { CrashCheck } from "./crash-check.js";

/** Timeout of a connection attempt, in milliseconds: some round trips within a region. */
const TIMEOUT_MS = 150;

const isRefused = ({ host, port }: Target): Promise<boolean> =>
    new Promise(resolve => {
        const socket = createConnection({ host, port });
        const end = (refused: boolean): void => {
            clearTimeout(timeout);
            socket.destroy();
            resolve(refused);
        };
        const timeout = setTimeout(() => end(false), TIMEOUT_MS);
        socket.once("connect", () => end(false));
        socket.once("error", (err: NodeJS.ErrnoException) => end(err.code === "ECONNREFUSED"));
    });

/** Opens a connection to the target: a crashed one refuses it. Concurrent checks of one target share a connection. */
export class ConnectCrashCheck extends CrashCheck {
    private readonly running = new Map<string, Promise<boolean>>();

    override hasCrashed(target: Target): Promise<boolean> {
        const key = `${target.host}:${target.port}`;
        const check = this.running.get(key) ?? isRefused(target).finally(() => this.running.delete(key));
        this.running.set(key, check);
        return check;
    }
}
