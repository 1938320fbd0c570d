/** Tokens reserved for one request. */
export interface BudgetHold {
    /** Charges the used tokens and releases the remainder; only the first call has an effect. */
    settle(usedTokens: number): void;
}

/** Whether a team's budget covers a request. */
export type BudgetDecision =
    | { readonly kind: "held"; readonly hold: BudgetHold; }
    /** The remaining budget does not cover the request. */
    | { readonly kind: "exhausted"; }
    /** The budget cannot be checked at present. */
    | { readonly kind: "unavailable"; readonly retryAfterS: number; readonly cause: string; };

/** Reserves tokens of prepaid budgets before a request is sent. */
export abstract class BudgetGate {
    /** Decides immediately or after a short exchange with other instances; does not throw. */
    abstract hold(team: string, tokens: number): Promise<BudgetDecision>;
}

/** Accepts every request; for teams without budgets. */
export class OpenBudgetGate extends BudgetGate {
    override hold(): Promise<BudgetDecision> {
        return Promise.resolve({ kind: "held", hold: { settle: () => undefined } });
    }
}
