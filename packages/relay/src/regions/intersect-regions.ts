/** Regions that are allowed by a route and by a team; undefined, where neither names any, allows all. */
export const intersectRegions = (
    route: readonly string[] | undefined,
    team: readonly string[] | undefined,
): readonly string[] | undefined =>
    route === undefined || team === undefined ? route ?? team : route.filter(region => team.includes(region));
