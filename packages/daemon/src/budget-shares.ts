import { type CurrentDocument, getPrepaidTokens } from "@ospreyreel/config";

/** Each budget's fraction of all prepaid tokens; every instance computes the same from the same document. */
export class BudgetShares {
    private revision: number | undefined;
    private shares: ReadonlyMap<string, number> = new Map();

    constructor(private readonly getCurrent: () => CurrentDocument | undefined) {}

    /** Share of a budget, 0 to 1; 0 where the budget is not known. */
    get(budget: string): number {
        const current = this.getCurrent();
        // Summing all budgets for each response is too expensive, so the shares are computed once per revision.
        if (current !== undefined && current.revision !== this.revision) {
            this.revision = current.revision;
            this.shares = computeShares(current);
        }
        return this.shares.get(budget) ?? 0;
    }
}

const computeShares = ({ document }: CurrentDocument): ReadonlyMap<string, number> => {
    const prepaid = document.budgets.map(budget => [budget.name, getPrepaidTokens(budget)] as const);
    const total = prepaid.reduce((sum, [, tokens]) => sum + tokens, 0);
    return new Map(prepaid.map(([name, tokens]) => [name, total === 0 ? 0 : tokens / total]));
};
