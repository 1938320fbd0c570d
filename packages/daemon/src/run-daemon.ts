import { readSettings } from "@ospreyreel/config";
import { toOspreyError } from "@ospreyreel/errors";
import type { DaemonPolicies } from "./daemon-policies.js";
import { Daemon } from "./daemon.js";

/** Options of {@link runDaemon}. */
export interface RunDaemonOptions {
    /** Path of the settings file. */
    readonly settings: string;
    /** Policies in place of the default ones. */
    readonly policies?: Partial<DaemonPolicies>;
}

const EXIT_INVALID = 2;
const EXIT_FAULT = 1;

const fail = (thrown: unknown): void => {
    const err = toOspreyError(thrown);
    process.stderr.write(`${err.result.code} ${err.result.name}: ${err.message}\n`);
    err.details.forEach(detail => process.stderr.write(`  ${detail}\n`));
    process.exitCode = err.result.name === "invalid_settings" ? EXIT_INVALID : EXIT_FAULT;
};

const stopOnSignal = (daemon: Daemon, signal: NodeJS.Signals): void => {
    let signals = 0;
    process.on(signal, () => {
        signals += 1;
        if (signals > 1) {
            // A second signal ends the process immediately; the copy holder settles open requests.
            process.exit(EXIT_FAULT);
        }
        daemon.stop().then(() => process.exit(0), err => {
            fail(err);
            process.exit();
        });
    });
};

/** Runs one instance until SIGTERM or SIGINT; prints a ready line once it accepts requests. */
export const runDaemon = async (opts: RunDaemonOptions): Promise<void> => {
    try {
        const cfg = await readSettings(opts.settings);
        const daemon = await Daemon.start(cfg, opts.policies);
        stopOnSignal(daemon, "SIGTERM");
        stopOnSignal(daemon, "SIGINT");
        await daemon.awaitReady();
        const { instance } = cfg;
        const ready = { ready: true, role: "instance", instance, ...daemon.addresses, pid: process.pid };
        process.stdout.write(`${JSON.stringify(ready)}\n`);
    }
    catch (err) {
        fail(err);
        // Components started before the failure must not keep the process alive.
        process.exit();
    }
};
