import type { RelayRoute } from "./document/relay-document.js";
import type { RouteTable } from "./document/route-table.js";
import { pickShare } from "./policy/pick-share.js";
import { intersectRegions } from "./regions/intersect-regions.js";
import type { RelayRefusal } from "./relay-refusal.js";
import type { RelayRequest } from "./relay-request.js";

/** Routing and billing decision for one request, from the desired state. */
export interface Admission {
    readonly route: RelayRoute;
    readonly service: string;
    readonly team: string | undefined;
    /** Whether the team pays from a budget. */
    readonly isPrepaid: boolean;
    /** 0 is the most urgent. */
    readonly priority: number;
    /** Regions to whose targets it may be sent; all where it is undefined. */
    readonly allowedRegions: readonly string[] | undefined;
    /** Version of the desired state that the decision is based on. */
    readonly version: number;
}

/** Whether a request may run more than once. */
export const isRepeatable = (route: RelayRoute): boolean =>
    route.kind === "idempotent" || (route.kind === "streaming" && route.isResumable);

/** Finds the route, service and team of a request in the desired state; returns a refusal where one is missing. */
export const admit = (
    table: RouteTable | undefined,
    req: RelayRequest,
    random: () => number,
): Admission | RelayRefusal => {
    if (table === undefined) {
        return { reason: "notReady", retryAfterS: NOT_READY_RETRY_S };
    }
    const path = req.path.split("?", 1)[0] ?? req.path;
    const route = table.findRoute(req.host, path);
    if (route === undefined) {
        return { reason: "noSuchRoute" };
    }
    const team = req.teamKey === undefined ? undefined : table.findTeamByKey(req.teamKey);
    if (table.document.teams !== undefined && !route.isPublic && team === undefined) {
        return { reason: "unknownKey" };
    }
    return {
        route,
        service: pickShare(route.shares, random()),
        team: team?.name,
        isPrepaid: team?.prepaidTokens !== undefined,
        priority: team?.priority ?? route.priority,
        allowedRegions: intersectRegions(route.allowedRegions, team?.allowedRegions),
        version: table.document.version,
    };
};

/** Time within which a starting instance has usually read the desired state, in seconds. */
const NOT_READY_RETRY_S = 0.5;
