/** Tokens set aside for one request. */
export interface BudgetHold {
    /** Keeps what was used and gives the rest back; only the first call counts. */
    settle(usedTokens: number): void;
}

/** Whether a team's budget covers a request. */
export type BudgetDecision =
    | { readonly kind: "held"; readonly hold: BudgetHold; }
    /** The rest of the budget does not cover the request. */
    | { readonly kind: "exhausted"; }
    /** It cannot be told now. */
    | { readonly kind: "unavailable"; readonly retryAfterS: number; readonly cause: string; };

/** Sets tokens of prepaid budgets aside before a request is sent. */
export abstract class BudgetGate {
    /** Decides at once or after a short exchange with other instances; does not throw. */
    abstract hold(team: string, tokens: number): Promise<BudgetDecision>;
}

/** Lets every request pass; for teams without budgets. */
export class OpenBudgetGate extends BudgetGate {
    override hold(): Promise<BudgetDecision> {
        return Promise.resolve({ kind: "held", hold: { settle: () => undefined } });
    }
}
