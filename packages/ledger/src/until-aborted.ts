/** Waits for a task until the signal is aborted; then throws the signal's reason, while the task itself continues. */
export const untilAborted = async <T>(task: Promise<T>, signal: AbortSignal): Promise<T> =>
    await new Promise<T>((resolve, reject) => {
        const abort = (): void => reject(signal.reason as Error);
        if (signal.aborted) {
            abort();
        }
        signal.addEventListener("abort", abort, { once: true });
        task.then(resolve, reject).finally(() => signal.removeEventListener("abort", abort));
    });
