/**
 * Divides a capacity among teams by max-min fairness: a team that asks for less than an equal part gets all of it, and what it leaves is
 * divided among the others. Returns what each team gets, in the unit of the demand.
 */
export const divideMaxMin = (demand: ReadonlyMap<string, number>, capacity: number): ReadonlyMap<string, number> => {
    const shares = new Map<string, number>();
    let left = Math.max(0, capacity);
    let teams = demand.size;
    for (const [team, asked] of [...demand].toSorted(([, a], [, b]) => a - b)) {
        const share = Math.min(asked, left / teams);
        shares.set(team, share);
        left -= share;
        teams -= 1;
    }
    return shares;
};
