import { createHash } from "node:crypto";
import type { Budget, OperatorsDocument, Rule } from "./document.js";

/** Returns the sum of a budget's top-ups, in tokens. */
export const getPrepaidTokens = (budget: Budget): number => budget.topUps.reduce((sum, topUp) => sum + topUp.tokens, 0);

/** Finds the first rule for a team and the model or service name that its caller requests. */
export const findRule = (document: OperatorsDocument, team: string, asks: string): Rule | undefined =>
    document.rules.find(rule => rule.asks === asks && (rule.teams.includes("*") || rule.teams.includes(team)));

const HASH_BITS = 48;

/** Hashes the parts to a number between 0 and 1, exclusive of both. */
const getFraction = (...parts: readonly string[]): number => {
    const hash = createHash("sha256").update(JSON.stringify(parts)).digest();
    return (hash.readUIntBE(0, HASH_BITS / 8) + 0.5) / 2 ** HASH_BITS;
};

/**
 * Picks the name of the offering that a caller reaches, by weighted rendezvous hashing: a caller's offering stays the
 * same while the shares are unchanged, and when one share grows, callers move only to that route.
 */
export const pickOffering = (rule: Rule, callerId: string): string | undefined => {
    let picked: string | undefined;
    let shortest = Infinity;
    for (const route of rule.routes) {
        if (route.share > 0) {
            const distance = -Math.log(getFraction(rule.name, route.offering, callerId)) / route.share;
            if (distance < shortest) {
                picked = route.offering;
                shortest = distance;
            }
        }
    }
    return picked;
};
