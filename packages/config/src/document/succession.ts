import type { Fault } from "../json/fault.js";
import type { Budget, OperatorsDocument } from "./document.js";

const findBudgetFaults = (base: Budget, next: Budget, index: number): readonly Fault[] => {
    const indexes = new Map(next.topUps.map((topUp, at) => [topUp.id, at]));
    return base.topUps.flatMap((topUp): readonly Fault[] => {
        const at = indexes.get(topUp.id);
        if (at === undefined) {
            const path = ["budgets", index, "topUps"];
            return [{ path, message: `top-up ${topUp.id} was accepted and must stay; close the budget instead` }];
        }
        if (next.topUps[at]?.tokens === topUp.tokens) {
            return [];
        }
        const path = ["budgets", index, "topUps", at, "tokens"];
        return [{
            path,
            message: `top-up ${topUp.id} was accepted with ${topUp.tokens} tokens and must keep them; `
                + "add a top-up or close the budget instead",
        }];
    });
};

/**
 * Finds changes that no later revision may make: an accepted top-up must not change its tokens or be removed, and an
 * accepted budget must not be removed, so that the prepaid total never falls below what may already be granted.
 */
export const checkSuccession = (base: OperatorsDocument | undefined, next: OperatorsDocument): readonly Fault[] => {
    const indexes = new Map(next.budgets.map((budget, index) => [budget.name, index]));
    return (base?.budgets ?? []).flatMap((budget): readonly Fault[] => {
        const index = indexes.get(budget.name);
        const successor = index === undefined ? undefined : next.budgets[index];
        if (index === undefined || successor === undefined) {
            return [{
                path: ["budgets"],
                message: `budget ${budget.name} was accepted and must stay; close it instead`,
            }];
        }
        return findBudgetFaults(budget, successor, index);
    });
};
