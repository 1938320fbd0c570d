import type { RelayDocument, RelayRoute, RelayService, RelayTeam } from "./relay-document.js";

/** A desired state, indexed for lookups by request. */
export class RouteTable {
    private readonly routesByHost: ReadonlyMap<string, readonly RelayRoute[]>;
    private readonly teamsByKey: ReadonlyMap<string, RelayTeam>;
    private readonly servicesByName: ReadonlyMap<string, RelayService>;
    private readonly teamsByName: ReadonlyMap<string, RelayTeam>;
    private mixedServices: ReadonlySet<string> | undefined;

    constructor(readonly document: RelayDocument) {
        const byHost = new Map<string, RelayRoute[]>();
        for (const route of document.routes) {
            const routes = byHost.get(route.host) ?? [];
            byHost.set(route.host, routes);
            routes.push(route);
        }
        byHost.forEach(routes => routes.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length));
        this.routesByHost = byHost;
        const teams = document.teams ?? [];
        this.teamsByKey = new Map(teams.flatMap(team => team.keys.map(key => [key, team] as const)));
        this.teamsByName = new Map(teams.map(team => [team.name, team]));
        this.servicesByName = new Map(document.services.map(service => [service.name, service]));
    }

    /** The route with the longest path prefix; undefined where none matches. */
    findRoute(host: string, path: string): RelayRoute | undefined {
        return this.routesByHost.get(host)?.find(route => path.startsWith(route.pathPrefix));
    }

    /** The team with a key. */
    findTeamByKey(key: string): RelayTeam | undefined {
        return this.teamsByKey.get(key);
    }

    /** The team with a name. */
    findTeam(name: string): RelayTeam | undefined {
        return this.teamsByName.get(name);
    }

    /** The service with a name. */
    findService(name: string): RelayService | undefined {
        return this.servicesByName.get(name);
    }

    /** Regions that routes of a host allow; empty where they allow all. */
    getHomes(host: string): readonly string[] {
        return this.routesByHost.get(host.toLowerCase())?.flatMap(route => route.allowedRegions ?? []) ?? [];
    }

    /** Whether requests to a service may differ in priority, by their routes or by their teams. */
    hasMixedPriorities(service: string): boolean {
        this.mixedServices ??= findMixedServices(this.document);
        return this.mixedServices.has(service);
    }
}

const findMixedServices = ({ routes, teams = [] }: RelayDocument): ReadonlySet<string> => {
    const priorities = new Map<string, Set<number>>();
    for (const route of routes) {
        // A team's priority goes before that of the route.
        const possible = [
            ...teams.map(team => team.priority ?? route.priority),
            ...(teams.length === 0 || route.isPublic ? [route.priority] : []),
        ];
        for (const { service } of route.shares.filter(({ weight }) => weight > 0)) {
            const known = priorities.get(service) ?? new Set<number>();
            priorities.set(service, known);
            possible.forEach(priority => known.add(priority));
        }
    }
    return new Set([...priorities].filter(([, known]) => known.size > 1).map(([service]) => service));
};
