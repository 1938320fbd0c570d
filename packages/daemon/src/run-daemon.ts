import { readSettings } from "@ospreyreel/config";
import { toOspreyError } from "@ospreyreel/errors";
import type { DaemonPolicies } from "./daemon-policies.js";
import { Daemon } from "./daemon.js";

/** What to run. */
export interface RunDaemonOptions {
    /** Path of the settings file. */
    readonly settings: string;
    /** Policies in place of the product's. */
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

const stopOn = (daemon: Daemon, signal: NodeJS.Signals): void => {
    let signals = 0;
    process.on(signal, () => {
        signals += 1;
        if (signals > 1) {
            // A second signal asks for the end now; the copy holder settles what is open.
            process.exit(EXIT_FAULT);
        }
        daemon.stop().then(() => process.exit(0), err => {
            fail(err);
            process.exit();
        });
    });
};

/** Runs one instance in this process until it is told to stop; prints a ready line once it takes requests. */
export const runDaemon = async (opts: RunDaemonOptions): Promise<void> => {
    try {
        const cfg = await readSettings(opts.settings);
        const daemon = await Daemon.start(cfg, opts.policies);
        stopOn(daemon, "SIGTERM");
        stopOn(daemon, "SIGINT");
        await daemon.awaitReady();
        const { instance } = cfg;
        const ready = { ready: true, role: "instance", instance, ...daemon.addresses, pid: process.pid };
        process.stdout.write(`${JSON.stringify(ready)}\n`);
    }
    catch (err) {
        fail(err);
        // What was started before the failure must not keep the process.
        process.exit();
    }
};
