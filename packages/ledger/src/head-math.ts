import type { FinishEntry, Intent } from "@ospreyreel/types";
import type { BudgetRecord, GrantRecord, HeadRecord, OpenRecord } from "./head-record.js";

const noBudget: BudgetRecord = { prepaid: 0, docRevision: 0, spent: 0 };
const noGrant: GrantRecord = { granted: 0, settled: 0 };
const noOpen: OpenRecord = { finishSeq: 0, grants: {} };

/** Returns the record of a budget; zeros where there is none yet. */
export const getBudget = (head: HeadRecord, budget: string): BudgetRecord => head.budgets[budget] ?? noBudget;

/** Returns the grant of an incarnation from a budget; zeros where there is none. */
export const getGrant = (head: HeadRecord, incarnation: string, budget: string): GrantRecord =>
    head.open[incarnation]?.grants[budget] ?? noGrant;

/** Tokens of a budget that sealed intents reserve. */
export const getSealedTokens = (head: HeadRecord, budget: string): number =>
    Object.values(head.sealed)
        .filter(record => record.intent.budget === budget)
        .reduce((sum, record) => sum + record.intent.reserved, 0);

/** Tokens of a budget granted to open incarnations. */
export const getGrantedTokens = (head: HeadRecord, budget: string): number =>
    Object.values(head.open).reduce((sum, open) => sum + (open.grants[budget]?.granted ?? 0), 0);

/** Tokens of a budget that are neither spent, granted nor sealed. */
export const getFree = (head: HeadRecord, budget: string): number => {
    const { prepaid, spent } = getBudget(head, budget);
    return prepaid - spent - getGrantedTokens(head, budget) - getSealedTokens(head, budget);
};

/** Number of open incarnations that hold more tokens of a budget than they settled. */
export const countHolders = (head: HeadRecord, budget: string): number =>
    Object.values(head.open).filter(open => {
        const grant = open.grants[budget];
        return grant !== undefined && grant.granted > grant.settled;
    }).length;

const withBudget = (head: HeadRecord, budget: string, record: BudgetRecord): HeadRecord => ({
    ...head,
    budgets: { ...head.budgets, [budget]: record },
});

const withOpen = (head: HeadRecord, incarnation: string, record: OpenRecord): HeadRecord => ({
    ...head,
    open: { ...head.open, [incarnation]: record },
});

/** Sets a budget's prepaid sum from a document, unless the same or a later revision has set it. */
export const withPrepaid = (head: HeadRecord, budget: string, prepaid: number, docRevision: number): HeadRecord => {
    const record = getBudget(head, budget);
    if (docRevision <= record.docRevision) {
        return head;
    }
    return withBudget(head, budget, { ...record, prepaid, docRevision });
};

/** Sets the grant of an incarnation. */
export const withGrant = (head: HeadRecord, incarnation: string, budget: string, grant: GrantRecord): HeadRecord => {
    const open = head.open[incarnation] ?? noOpen;
    return withOpen(head, incarnation, { ...open, grants: { ...open.grants, [budget]: grant } });
};

const withTokens = (grant: GrantRecord, tokens: number): GrantRecord => {
    const settled = grant.settled + tokens;
    // Use beyond the reservation is still counted in full.
    return { granted: Math.max(grant.granted, settled), settled };
};

const sumByBudget = (finishes: readonly FinishEntry[]): ReadonlyMap<string, number> => {
    const sums = new Map<string, number>();
    finishes.forEach(({ budget, tokens }) => sums.set(budget, (sums.get(budget) ?? 0) + tokens));
    return sums;
};

/** Adds finishes that the record does not include yet, in the order of their numbers. */
export const withFinishes = (head: HeadRecord, incarnation: string, finishes: readonly FinishEntry[]): HeadRecord => {
    const unsettled = getUnsettled(head, incarnation, finishes);
    const finishSeq = unsettled.at(-1)?.finishSeq;
    if (finishSeq === undefined) {
        return head;
    }
    // One copy of the grants for all finishes: a shard may hold hundreds of budgets.
    const changed = [...sumByBudget(unsettled)].map(([budget, tokens]) =>
        [budget, withTokens(getGrant(head, incarnation, budget), tokens)] as const
    );
    const grants = { ...head.open[incarnation]?.grants, ...Object.fromEntries(changed) };
    return withOpen(head, incarnation, { finishSeq, grants });
};

/** Finishes that the record does not include yet. */
export const getUnsettled = (
    head: HeadRecord,
    incarnation: string,
    finishes: readonly FinishEntry[],
): readonly FinishEntry[] => {
    const included = head.open[incarnation]?.finishSeq ?? 0;
    return finishes.filter(finish => finish.finishSeq > included);
};

/** Removes an incarnation: its settled tokens are spent, the remainder is free again. */
export const withReturnedGrants = (head: HeadRecord, incarnation: string): HeadRecord => {
    const { [incarnation]: open, ...others } = head.open;
    let next: HeadRecord = { ...head, open: others };
    for (const [budget, grant] of Object.entries(open?.grants ?? {})) {
        const record = getBudget(next, budget);
        next = withBudget(next, budget, { ...record, spent: record.spent + grant.settled });
    }
    return next;
};

/** Closes an incarnation from its copy: finishes are settled, unfinished intents count in full as sealed. */
export const withClosed = (
    head: HeadRecord,
    incarnation: string,
    copy: {
        readonly finishes: readonly FinishEntry[];
        readonly intents: readonly Intent[];
        readonly closer: string;
        readonly sealedAtMs: number;
    },
): HeadRecord => {
    const { finishes, intents, closer, sealedAtMs } = copy;
    const settled = withFinishes(head, incarnation, finishes);
    const sealed = intents.map(intent => [intent.id, { intent, closer, sealedAtMs }] as const);
    const returned = withReturnedGrants(settled, incarnation);
    return { ...returned, sealed: { ...returned.sealed, ...Object.fromEntries(sealed) } };
};

/** Replaces a sealed intent with the tokens that its target served. */
export const withResolved = (head: HeadRecord, intentId: string, tokens: number): HeadRecord => {
    const { [intentId]: sealed, ...others } = head.sealed;
    if (sealed === undefined) {
        return head;
    }
    const record = getBudget(head, sealed.intent.budget);
    return withBudget({ ...head, sealed: others }, sealed.intent.budget, { ...record, spent: record.spent + tokens });
};

/**
 * Stops trying to prove a sealed intent's use: its tokens count as spent permanently and its record is removed. No
 * tokens become free, so that no clock decides about tokens.
 */
export const withUnproved = (head: HeadRecord, intentId: string): HeadRecord => {
    const { [intentId]: sealed, ...others } = head.sealed;
    if (sealed === undefined) {
        return head;
    }
    const { budget, reserved } = sealed.intent;
    const record = getBudget(head, budget);
    const unproved = (record.unproved ?? 0) + reserved;
    return withBudget({ ...head, sealed: others }, budget, { ...record, spent: record.spent + reserved, unproved });
};

/** Sets the sealing time of a sealed intent that has none. */
export const withSealingTime = (head: HeadRecord, intentId: string, sealedAtMs: number): HeadRecord => {
    const sealed = head.sealed[intentId];
    if (sealed === undefined || sealed.sealedAtMs !== undefined) {
        return head;
    }
    return { ...head, sealed: { ...head.sealed, [intentId]: { ...sealed, sealedAtMs } } };
};
