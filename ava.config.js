export default {
    files: ["packages/*/dist/**/*.test.js", "platform/dist/**/*.test.js", "spec/**/*.test.mjs"],
    timeout: "5m",
    concurrency: 4,
    workerThreads: false,
};
