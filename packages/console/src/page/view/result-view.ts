import { readFaultLine } from "../document/fault-line.js";
import type { EditOutcome } from "../fleet/edit-outcome.js";
import type { CallResult, CheckResult, Refusal } from "../fleet/operator-calls.js";
import { createElement, createList } from "./create-element.js";

const createHeading = (text: string): HTMLElement => createElement("h2", { text });

const createFaultTable = (lines: readonly string[]): HTMLElement => {
    const rows = lines.map(readFaultLine).map(({ pathText, message }) =>
        createElement("tr", {
            children: [
                createElement("td", { className: "path", text: pathText }),
                createElement("td", { text: message }),
            ],
        })
    );
    const head = createElement("tr", {
        children: [createElement("th", { text: "Path" }), createElement("th", { text: "Fault" })],
    });
    return createElement("table", { children: [head, ...rows] });
};

const describeRefusal = ({ status, name, message }: Refusal): string => `${status} ${name}: ${message}`;

/** Creates the report of a failed call. */
export const createFailure = (result: Exclude<CallResult<unknown>, { readonly kind: "ok"; }>): readonly HTMLElement[] =>
    result.kind === "lost"
        ? [createHeading("No answer"), createElement("p", { text: result.message })]
        : [
            createHeading("Refused"),
            createElement("p", { text: describeRefusal(result.refusal) }),
            createList(result.refusal.details),
        ];

/** Creates the report of a check: every fault with its path, or the changes that the text would make. */
export const createCheckReport = (result: CheckResult, baseRevision: number): readonly HTMLElement[] => {
    const outdatedNotice = result.baseRevision === baseRevision ? [] : [createElement("p", {
        className: "fault",
        text: `This edit started from revision ${baseRevision}, but revision ${result.baseRevision} is in force at the `
            + "instance asked. Reload and reapply, then check again.",
    })];
    if (result.faults.length > 0) {
        return [createHeading("Faults"), ...outdatedNotice, createFaultTable(result.faults)];
    }
    return result.diff.length === 0
        ? [createHeading("No changes"), ...outdatedNotice]
        : [createHeading("No faults; applying would change"), ...outdatedNotice, createList(result.diff)];
};

/** Creates the report of an edit's outcome. */
export const createOutcomeReport = (outcome: EditOutcome, editId: string): readonly HTMLElement[] => {
    switch (outcome.kind) {
        case "accepted": {
            const before = outcome.alreadyApplied ? "; an earlier call had applied it" : "";
            return [createHeading(`Accepted as revision ${outcome.revision}${before}`)];
        }
        case "conflict":
            return [
                createHeading("Conflict: another edit was accepted first; nothing of yours was applied"),
                createElement("p", { text: outcome.refusal.message }),
                createElement("p", { text: "What differs in force from the revision you started from:" }),
                createList(outcome.refusal.details),
            ];
        case "refused":
            return [
                createHeading("Refused; nothing was applied"),
                createElement("p", { text: describeRefusal(outcome.refusal) }),
                createFaultTable(outcome.refusal.details),
            ];
        case "unknown":
            return [
                createHeading("Outcome unknown"),
                createElement("p", {
                    text: `${outcome.message}. The edit may have been accepted. Repeat sends the same edit id, `
                        + `${editId}, so that it takes effect at most once.`,
                }),
            ];
    }
};

/** Creates the report of merging an edit into a newer document. */
export const createMergeReport = (revision: number, overlaps: readonly string[]): readonly HTMLElement[] => [
    createHeading(`Your edit now starts from revision ${revision}; check it again`),
    ...(overlaps.length === 0
        ? []
        : [createElement("p", { text: "Both edits changed these:" }), createList(overlaps)]),
];
