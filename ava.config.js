/** Tests of memory and descriptors, which run one at a time and apart from the others. */
const ALONE = "packages/*/dist/**/caller-crowds.test.js";

const isAlone = process.env.OSPREYREEL_TESTS === "alone";

export default {
    files: isAlone
        ? [ALONE]
        : ["packages/*/dist/**/*.test.js", "platform/dist/**/*.test.js", "spec/**/*.test.mjs", `!${ALONE}`],
    timeout: "5m",
    concurrency: isAlone ? 1 : 4,
    workerThreads: false,
};
