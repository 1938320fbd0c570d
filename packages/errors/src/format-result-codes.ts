import type { Outcome, ResultCode } from "./result-codes.js";

const INTRODUCTION = `# Result codes

Generated from \`packages/errors/src/result-codes.ts\` by \`npm run docs:result-codes\`; edit the table there.

The outcome is what is known about the request. "Not run": it was sent to no target and will not be. "Unknown": it may
have run, or may still run. "Done": it has run. The outcome covers this one attempt: if a caller sends the same key to two
instances, "not run" from one says nothing about the other.

| Code | Name | HTTP status | Outcome | Retry-After (s) | Meaning |
| ---: | --- | ---: | --- | ---: | --- |
`;

const OUTCOMES: Readonly<Record<Outcome, string>> = { not_run: "not run", unknown: "unknown", done: "done" };

const formatRow = (result: ResultCode): string => {
    const retryAfter = result.retryAfterS === undefined ? "-" : String(result.retryAfterS);
    const cells = [
        result.code,
        `\`${result.name}\``,
        result.status,
        OUTCOMES[result.outcome],
        retryAfter,
        result.meaning,
    ];
    return `| ${cells.join(" | ")} |\n`;
};

/** Formats the table of result codes as the page docs/result-codes.md. */
export const formatResultCodes = (results: readonly ResultCode[]): string =>
    INTRODUCTION + results.map(formatRow).join("");
