import { getAt } from "../document/edit-value.js";
import { toList, type ValuePath } from "../document/json-value.js";

/**
 * Whether a path is a budget's name or a top-up that was already accepted and must not change. The form only appends
 * to these lists, so an entry of the base keeps its index.
 */
export const isAccepted = (base: unknown, path: ValuePath): boolean => {
    const [section, index, member, topUp] = path;
    if (section !== "budgets" || typeof index !== "number") {
        return false;
    }
    const isKnownBudget = index < toList(getAt(base, ["budgets"])).length;
    if (member === undefined || member === "name") {
        return isKnownBudget;
    }
    return member === "topUps" && typeof topUp === "number"
        && topUp < toList(getAt(base, ["budgets", index, "topUps"])).length;
};

/** Whether a list is append-only, which also preserves its order. */
export const isAddOnly = (path: ValuePath): boolean =>
    path[0] === "budgets" && (path.length === 1 || (path.length === 3 && path[2] === "topUps"));
