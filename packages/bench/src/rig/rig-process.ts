import type { Address } from "@ospreyreel/types";
import { type ChildProcess, spawn } from "node:child_process";
import { once } from "node:events";
import { createInterface } from "node:readline";
import type { Cleanup } from "./cleanup.js";
import type { ExitStatus } from "./exit-status.js";

/** The line that a process prints once it accepts connections; which addresses it has depends on the role. */
export interface ReadyMessage {
    readonly ready: true;
    readonly role: string;
    readonly pid: number;
    readonly address?: Address;
    readonly control?: Address;
    readonly caller?: Address;
    readonly operator?: Address;
    readonly peer?: Address;
}

/** What to start and how long to wait. */
export interface ProcessOptions {
    /** Path of a compiled module. */
    readonly script: string;
    readonly args?: readonly string[];
    /** Added to this process's environment. */
    readonly env?: Readonly<Record<string, string>>;
    /** Arguments of node itself, before the script. */
    readonly nodeArgs?: readonly string[];
    /** Descriptors that the process may have open; those of this process by default. */
    readonly maxDescriptors?: number;
    /** Longest wait for the ready line; 30,000 by default. */
    readonly readyTimeoutMs?: number;
    /** Longest wait for an end after SIGTERM, before SIGKILL; 60,000 by default. */
    readonly stopTimeoutMs?: number;
    /** Takes each line of standard output after the ready line. */
    readonly onLine?: (line: string) => void;
    /** Stops the process when a test is over. */
    readonly cleanup?: Cleanup;
}

const MAX_TAIL_CHARS = 16_384;

const running = new Set<ChildProcess>();

// A bench that ends early must leave no process behind.
process.once("exit", () => running.forEach(child => child.kill("SIGKILL")));

/** A started process that has said that it is ready. */
export class RigProcess {
    /** How the process ended, once it has. */
    readonly exited: Promise<ExitStatus>;
    private readonly child: ChildProcess;
    private readonly stopTimeoutMs: number;
    private readonly onLine: (line: string) => void;
    private stderr = "";
    private stdout = "";
    private readyMessage: ReadyMessage | undefined;

    constructor(opts: ProcessOptions) {
        this.stopTimeoutMs = opts.stopTimeoutMs ?? 60_000;
        this.onLine = opts.onLine ?? (() => undefined);
        const args = [...opts.nodeArgs ?? [], opts.script, ...opts.args ?? []];
        // The shell sets the limit and is then replaced by the process, which keeps its id.
        const { maxDescriptors } = opts;
        const [command, commandArgs] = maxDescriptors === undefined
            ? [process.execPath, args]
            : ["/bin/sh", ["-c", `ulimit -n ${maxDescriptors} && exec "$0" "$@"`, process.execPath, ...args]];
        this.child = spawn(command, commandArgs, {
            env: { ...process.env, ...opts.env },
            stdio: ["ignore", "pipe", "pipe"],
        });
        running.add(this.child);
        this.exited = this.followExit();
        this.child.stderr?.setEncoding("utf8").on("data", (text: string) => {
            this.stderr = (this.stderr + text).slice(-MAX_TAIL_CHARS);
        });
    }

    /** Id of the process. */
    get pid(): number {
        return this.child.pid ?? 0;
    }

    /** The ready line. */
    get ready(): ReadyMessage {
        if (this.readyMessage === undefined) {
            throw new Error("the process is not ready");
        }
        return this.readyMessage;
    }

    /** End of what the process wrote to standard error. */
    get stderrTail(): string {
        return this.stderr;
    }

    /** End of what the process wrote to standard output after its ready line. */
    get stdoutTail(): string {
        return this.stdout;
    }

    /** Whether the process has not ended. */
    get isRunning(): boolean {
        return running.has(this.child);
    }

    /** Sends a signal. */
    kill(signal: NodeJS.Signals): void {
        this.child.kill(signal);
    }

    /** Asks the process to end and waits until it has; a frozen one is woken first. */
    async stop(): Promise<ExitStatus> {
        this.kill("SIGCONT");
        this.kill("SIGTERM");
        const timer = setTimeout(() => this.kill("SIGKILL"), this.stopTimeoutMs);
        const status = await this.exited;
        clearTimeout(timer);
        return status;
    }

    /** Waits for the ready line; kills the process and throws if there is none in time. */
    async awaitReady(timeoutMs: number): Promise<void> {
        const timer = setTimeout(() => this.kill("SIGKILL"), timeoutMs);
        this.readyMessage = await Promise.race([this.readReady(), this.exited.then(() => undefined)]);
        clearTimeout(timer);
        if (this.readyMessage === undefined) {
            const { code, signal } = await this.exited;
            throw new Error(`process ended before it was ready (${code ?? signal ?? "unknown"}): ${this.stderr}`);
        }
    }

    private readReady(): Promise<ReadyMessage> {
        const { stdout } = this.child;
        return new Promise(resolve => {
            // Lines after the ready one are read too, so that the pipe never fills.
            stdout?.setEncoding("utf8");
            if (stdout !== null) {
                createInterface({ input: stdout }).on("line", line => {
                    if (line.startsWith("{\"ready\":true")) {
                        resolve(JSON.parse(line) as ReadyMessage);
                    }
                    else {
                        this.onLine(line);
                        this.stdout = `${this.stdout}${line}\n`.slice(-MAX_TAIL_CHARS);
                    }
                });
            }
        });
    }

    private async followExit(): Promise<ExitStatus> {
        const [code, signal] = await once(this.child, "close") as [number | null, NodeJS.Signals | null];
        running.delete(this.child);
        return { code: code ?? undefined, signal: signal ?? undefined };
    }
}

/** Starts a Node process and waits until it is ready. */
export const startProcess = async (opts: ProcessOptions): Promise<RigProcess> => {
    const started = new RigProcess(opts);
    opts.cleanup?.teardown(async () => {
        await started.stop();
    });
    await started.awaitReady(opts.readyTimeoutMs ?? 30_000);
    return started;
};
