import test from "ava";
import { admit } from "../admission.js";
import { createDocument, createRoute } from "../fixtures/documents.js";
import { createRequest } from "../fixtures/plain-protocol.js";
import { DocumentHolder } from "./document-holder.js";
import { RouteTable } from "./route-table.js";

test("the longest matching prefix of the host is used, and other hosts have their own routes", t => {
    const table = new RouteTable(createDocument({
        routes: [
            createRoute({ name: "short", pathPrefix: "/a/" }),
            createRoute({ name: "long", pathPrefix: "/a/b/" }),
            createRoute({ name: "other", host: "host-2", pathPrefix: "/" }),
        ],
    }));
    t.is(table.findRoute("host-1", "/a/b/c")?.name, "long");
    t.is(table.findRoute("host-1", "/a/c")?.name, "short");
    t.is(table.findRoute("host-1", "/b"), undefined);
    t.is(table.findRoute("host-2", "/a/b")?.name, "other");
});

test("without a desired state a request is refused as not ready, not as unknown", t => {
    t.like(admit(undefined, createRequest(), () => 0), { reason: "notReady" });
});

test("a key that no team holds is refused unless the route is public", t => {
    const teams = [{ name: "team-1", keys: ["key-1"], priority: undefined, prepaidTokens: 5 }];
    const table = new RouteTable(createDocument({ teams }));
    t.like(admit(table, createRequest({ teamKey: "key-2" }), () => 0), { reason: "unknownKey" });
    t.like(admit(table, createRequest(), () => 0), { reason: "unknownKey" });
    t.like(admit(table, createRequest({ teamKey: "key-1" }), () => 0), { team: "team-1", isPrepaid: true });
    const open = new RouteTable(createDocument({ teams, routes: [createRoute({ isPublic: true })] }));
    t.like(admit(open, createRequest(), () => 0), { service: "service-1", team: undefined });
});

test("requests are split among shares by weight", t => {
    const shares = [{ service: "a", weight: 90 }, { service: "b", weight: 10 }];
    const table = new RouteTable(createDocument({ routes: [createRoute({ shares })] }));
    const picked = [0, 0.5, 0.89, 0.91, 0.999].map(at => {
        const admitted = admit(table, createRequest(), () => at);
        return "service" in admitted ? admitted.service : "";
    });
    t.deepEqual(picked, ["a", "a", "a", "b", "b"]);
});

test("a desired state is never replaced by an older one or by the same one", t => {
    const holder = new DocumentHolder();
    t.true(holder.replaceIfNewer(createDocument({ version: 7 }), Buffer.from("7")));
    t.false(holder.replaceIfNewer(createDocument({ version: 5 }), Buffer.from("5")));
    t.false(holder.replaceIfNewer(createDocument({ version: 7 }), Buffer.from("7")));
    t.is(holder.version, 7);
    t.true(holder.replaceIfNewer(createDocument({ version: 20 }), Buffer.from("20")));
});

const team = (name: string, priority?: number) => ({ name, keys: [name], priority, prepaidTokens: undefined });

// Guards against an order among requests that all have the same priority, and against none where they differ.
test("a service has mixed priorities where its routes or teams differ in theirs", t => {
    const routes = [
        createRoute({ name: "urgent", pathPrefix: "/u/", priority: 0 }),
        createRoute({ name: "later", pathPrefix: "/l/", priority: 2 }),
        createRoute({ name: "alone", pathPrefix: "/o/", priority: 1, shares: [{ service: "other", weight: 1 }] }),
    ];
    const byRoutes = new RouteTable(createDocument({ routes }));
    t.true(byRoutes.hasMixedPriorities("service-1"));
    t.false(byRoutes.hasMixedPriorities("other"));
    t.false(byRoutes.hasMixedPriorities("unknown"));
    const equal = new RouteTable(createDocument({ routes, teams: [team("a", 1), team("b", 1)] }));
    t.false(equal.hasMixedPriorities("service-1"));
    const byTeams = new RouteTable(createDocument({ routes, teams: [team("a", 1), team("b", 2)] }));
    t.true(byTeams.hasMixedPriorities("other"));
});
