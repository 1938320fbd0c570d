import { type PlatformTargetOptions, PlatformTargetStandIn } from "@ospreyreel/stand-ins";
import type { Address } from "@ospreyreel/types";
import type { ExitStatus } from "../rig/exit-status.js";
import { getScriptPath } from "../rig/redirects.js";
import { type RigProcess, startProcess } from "../rig/rig-process.js";

/** A stand-in for a target that runs as a process of its own, so that it can be killed; it tells nothing of its requests. */
export class TargetProcess extends PlatformTargetStandIn {
    private process: RigProcess | undefined;

    constructor(private readonly processOpts: PlatformTargetOptions) {
        super(processOpts);
    }

    override get address(): Address {
        return this.process?.ready.address ?? { host: "", port: 0 };
    }

    override async start(): Promise<void> {
        this.process = await startProcess({
            script: getScriptPath("stand-ins/dist/platform/main.js"),
            args: [JSON.stringify(this.processOpts)],
        });
    }

    override async close(): Promise<void> {
        this.kill("SIGKILL");
        await this.process?.exited;
    }

    /** Sends a signal; SIGTERM ends the process with its last response. */
    kill(signal: NodeJS.Signals): void {
        this.process?.kill(signal);
    }

    /** How the process ended, once it has; undefined before its start. */
    get exited(): Promise<ExitStatus> | undefined {
        return this.process?.exited;
    }
}
