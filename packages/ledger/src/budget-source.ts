/** A budget as stated by the active document. */
export interface BudgetTerms {
    /** Sum of the top-ups, in tokens. */
    readonly prepaid: number;
    /** Revision of the document. */
    readonly revision: number;
}

/** Returns the terms of a budget; undefined where the document does not have the budget. */
export type BudgetSource = (budget: string) => BudgetTerms | undefined;
