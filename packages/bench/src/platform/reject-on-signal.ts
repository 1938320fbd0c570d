/** Loaded into an instance before its main module: a promise that nothing awaits rejects on SIGUSR2. */
process.on("SIGUSR2", () => {
    void Promise.reject(new Error("rejected on a signal"));
});
