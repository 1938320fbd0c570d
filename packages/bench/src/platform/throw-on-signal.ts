/** Loaded into an instance before its main module: an error that nothing handles is thrown outside of any request on SIGUSR2. */
process.on("SIGUSR2", () => {
    setImmediate(() => {
        throw new Error("thrown on a signal");
    });
});
