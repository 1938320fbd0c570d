import type { FleetBudgets } from "@ospreyreel/budgets";
import { type BudgetDecision, BudgetGate, type BudgetHold } from "../budget-gate.js";

/**
 * Time within which a budget with an unreachable owner usually gets a new owner, in seconds; the lost peer is detected
 * by then.
 */
const UNAVAILABLE_RETRY_S = 1;

/** Shortest time after which a caller comes back, in seconds. */
const MIN_RETRY_S = 0.1;

const MS_PER_S = 1_000;

const getRetryAfterS = (retryAfterMs: number | undefined): number =>
    retryAfterMs === undefined ? UNAVAILABLE_RETRY_S : Math.max(MIN_RETRY_S, retryAfterMs / MS_PER_S);

/** Reserves tokens of the fleet's budgets. */
export class FleetBudgetGate extends BudgetGate {
    constructor(private readonly budgets: FleetBudgets) {
        super();
    }

    override async hold(team: string, tokens: number): Promise<BudgetDecision> {
        const result = await this.budgets.hold(team, tokens);
        switch (result.kind) {
            case "held":
                return { kind: "held", hold: this.createHold(team, tokens) };
            case "exhausted":
                return { kind: "exhausted" };
            case "unavailable":
                return { kind: "unavailable", retryAfterS: getRetryAfterS(result.retryAfterMs), cause: result.cause };
        }
    }

    private createHold(team: string, tokens: number): BudgetHold {
        let settled = false;
        return {
            settle: usedTokens => {
                if (!settled) {
                    settled = true;
                    this.budgets.release(team, Math.max(0, tokens - usedTokens));
                }
            },
        };
    }
}
