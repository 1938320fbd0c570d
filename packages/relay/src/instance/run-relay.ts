import { toOspreyError } from "@ospreyreel/errors";
import { stat } from "node:fs/promises";
import type { RelayAdapter } from "./relay-adapter.js";
import { RelayInstance } from "./relay-instance.js";
import { readRelaySettings } from "./relay-settings.js";

const EXIT_INVALID = 2;
const EXIT_FAULT = 1;

/** Time between checks of the settings file, which may change without a signal; in milliseconds. */
const SETTINGS_CHECK_MS = 2_000;

const MS_PER_S = 1_000;

const fail = (thrown: unknown): never => {
    const err = toOspreyError(thrown);
    process.stderr.write(`${err.result.code} ${err.result.name}: ${err.message}\n`);
    err.details.forEach(detail => process.stderr.write(`  ${detail}\n`));
    process.exit(err.result.name === "invalid_settings" ? EXIT_INVALID : EXIT_FAULT);
};

const reload = async (instance: RelayInstance, file: string): Promise<void> => {
    try {
        instance.updateSettings(await readRelaySettings(file));
    }
    catch (err) {
        // The current settings stay active until the file is valid.
        process.stderr.write(`settings not reloaded: ${toOspreyError(err).message}\n`);
    }
};

const followSettings = (instance: RelayInstance, file: string): void => {
    let lastModifiedMs: number | undefined;
    setInterval(() => {
        stat(file).then(({ mtimeMs }) => {
            if (lastModifiedMs !== undefined && lastModifiedMs !== mtimeMs) {
                void reload(instance, file);
            }
            lastModifiedMs = mtimeMs;
        }, (err: unknown) => process.stderr.write(`settings file not readable: ${String(err)}\n`));
    }, SETTINGS_CHECK_MS);
};

/** Ends the process after an error that nothing has handled, once the open requests are answered. */
const stopOnUnexpectedError = (starting: Promise<RelayInstance>, stopWithinMs: number): void => {
    const exit = (): never => process.exit(EXIT_FAULT);
    let isStopping = false;
    // Comes for a rejected promise that nothing awaits, too.
    process.on("uncaughtException", err => {
        void starting.then(instance => instance.recordUnexpectedError(err)).catch(() => undefined);
        if (!isStopping) {
            isStopping = true;
            process.stderr.write(`unexpected error: ${err.stack ?? String(err)}\n`);
            setTimeout(exit, stopWithinMs);
            starting.then(instance => instance.stopAfterError()).then(exit, exit);
        }
    });
};

/** Runs one relay instance in this process until a signal or an unexpected error stops it. */
export const runRelay = async (file: string, adapter: RelayAdapter): Promise<void> => {
    try {
        const cfg = await readRelaySettings(file);
        const starting = RelayInstance.start(cfg, adapter);
        stopOnUnexpectedError(starting, cfg.stopWithinS * MS_PER_S);
        // Callers that know the address may send requests as soon as the port listens.
        process.on("SIGTERM", () => void starting.then(it => it.stop()).then(() => process.exit(0), fail));
        process.on("SIGHUP", () => void starting.then(it => reload(it, file), fail));
        process.on("SIGINT", () => process.exit(EXIT_FAULT));
        const instance = await starting;
        followSettings(instance, file);
        await instance.ready;
        const ready = { ready: true, role: "relay", instance: cfg.instance, callers: cfg.callers, pid: process.pid };
        process.stdout.write(`${JSON.stringify(ready)}\n`);
    }
    catch (err) {
        fail(err);
    }
};
