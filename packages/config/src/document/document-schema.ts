import { type TObject, type TProperties, Type } from "@sinclair/typebox";
import type { ModelOffering, ServiceOffering } from "./document.js";

const MAX_NAME_LENGTH = 100;
const MAX_TOKENS = 1_000_000_000_000_000;
const MAX_LIST_ITEMS = 100_000;
const MAX_REFERENCES = 10_000;

const createRecord = <T extends TProperties>(title: string, description: string, properties: T): TObject<T> =>
    Type.Object(properties, { title, description, additionalProperties: false });

const createName = (title: string, description: string) =>
    Type.String({ title, description, pattern: "^[A-Za-z0-9][A-Za-z0-9._-]*$", maxLength: MAX_NAME_LENGTH });

/** Names that callers or engines use; they may contain slashes and colons. */
const createPublicName = (title: string, description: string) =>
    Type.String({ title, description, pattern: "^[A-Za-z0-9][A-Za-z0-9._:/-]*$", maxLength: 2 * MAX_NAME_LENGTH });

const createFlag = (title: string, description: string) => Type.Optional(Type.Boolean({ title, description }));

const teamKeySchema = createRecord("Key", "A key that a team's callers present.", {
    id: createName("Id", "Unique within the team."),
    sha256: Type.String({
        title: "SHA-256",
        description: "SHA-256 of the key, 64 lower-case hexadecimal digits; `ospreyreel hash-key` prints it.",
        pattern: "^[0-9a-f]{64}$",
    }),
});

const teamSchema = createRecord("Team", "Callers that pay from one budget.", {
    name: createName("Name", "Unique among teams."),
    budget: createName("Budget", "Name of the budget that pays."),
    keys: Type.Array(teamKeySchema, { title: "Keys", description: "Keys of the team's callers.", maxItems: 1000 }),
});

const topUpSchema = createRecord("Top-up", "One prepayment; it cannot be changed or removed once accepted.", {
    id: createName("Id", "Unique within the budget."),
    tokens: Type.Integer({ title: "Tokens", description: "Tokens prepaid.", minimum: 1, maximum: MAX_TOKENS }),
});

const budgetSchema = createRecord("Budget", "A prepaid budget; it can be topped up and closed but not lowered.", {
    name: createName("Name", "Unique among budgets."),
    topUps: Type.Array(topUpSchema, {
        title: "Top-ups",
        description: "All prepayments; their sum is the total that may be spent. Entries can only be added.",
        maxItems: MAX_LIST_ITEMS,
    }),
    closed: createFlag("Closed", "A closed budget serves no new requests. False by default."),
});

const targetSchema = createRecord("Target", "A model engine or a plain service.", {
    name: createName("Name", "Unique among targets."),
    kind: Type.Unsafe<"engine" | "service">({
        title: "Kind",
        description: "Interface of the target.",
        type: "string",
        enum: ["engine", "service"],
    }),
    url: Type.String({
        title: "URL",
        description: "Base URL by IP number, without a path.",
        format: "ip-base-url",
        maxLength: 200,
    }),
    availabilityZone: createName("Availability zone", "Where the target runs."),
    capacity: Type.Integer({
        title: "Capacity",
        description: "Requests that the target serves concurrently.",
        minimum: 1,
        maximum: 100_000,
    }),
    checksFencing: createFlag("Checks fencing", "Whether the target rejects an order with an outdated fencing number."),
});

const offeringMembers = {
    name: createName("Name", "Unique among offerings."),
    targets: Type.Array(createName("Target", "Name of a target."), {
        title: "Targets",
        description: "Targets that serve the offering; engines for a model, services for a service.",
        minItems: 1,
        maxItems: MAX_REFERENCES,
        uniqueItems: true,
    }),
    priority: Type.Optional(Type.Integer({
        title: "Priority",
        description: "0 (first) to 9 (last); 5 by default.",
        minimum: 0,
        maximum: 9,
    })),
    deadlineMs: Type.Optional(Type.Integer({
        title: "Deadline",
        description: "Longest time from arrival to the first byte, in milliseconds; 30,000 by default.",
        minimum: 1,
        maximum: 3_600_000,
    })),
};

const modelOfferingSchema = createRecord("Model offering", "A model, optionally with an adapter and a version.", {
    ...offeringMembers,
    kind: Type.Literal("model"),
    model: createPublicName("Model", "Name of the model at the engine."),
    adapter: Type.Optional(createPublicName("Adapter", "Name of the adapter at the engine.")),
    version: Type.Optional(createPublicName("Version", "Version of model and adapter at the engine.")),
    maxTokens: Type.Integer({
        title: "Most tokens",
        description: "Cap and default of a request's max_tokens.",
        minimum: 1,
        maximum: 10_000_000,
    }),
    idempotent: createFlag("Idempotent", "Whether a request may be sent to another target; true by default."),
});

const serviceOfferingSchema = createRecord("Service offering", "A plain service called by path.", {
    ...offeringMembers,
    kind: Type.Literal("service"),
    tokensPerCall: Type.Optional(Type.Integer({
        title: "Tokens per call",
        description: "Charged for each call; 0 by default.",
        minimum: 0,
        maximum: MAX_TOKENS,
    })),
    idempotent: createFlag("Idempotent", "Whether a call may be repeated; false by default."),
});

const offeringSchema = Type.Unsafe<ModelOffering | ServiceOffering>({
    title: "Offering",
    description: "A model or service that callers can be routed to.",
    type: "object",
    required: ["kind"],
    discriminator: { propertyName: "kind" },
    oneOf: [modelOfferingSchema, serviceOfferingSchema],
});

const routeSchema = createRecord("Route", "One of the offerings that a rule distributes callers over.", {
    offering: createName("Offering", "Name of the offering."),
    share: Type.Number({
        title: "Share",
        description: "Weight relative to the other routes of the rule; a route with 0 gets no callers.",
        minimum: 0,
        maximum: 1_000_000,
    }),
});

const ruleSchema = createRecord("Rule", "Which offering a team's callers reach; the first matching rule applies.", {
    name: createName("Name", "Unique among rules. Renaming a rule redistributes its callers over the routes."),
    teams: Type.Array(Type.String({ pattern: "^(\\*|[A-Za-z0-9][A-Za-z0-9._-]*)$", maxLength: MAX_NAME_LENGTH }), {
        title: "Teams",
        description: "Names of teams; \"*\" for all.",
        minItems: 1,
        maxItems: MAX_REFERENCES,
        uniqueItems: true,
    }),
    asks: createPublicName("Asks", "The model or service name in callers' requests."),
    routes: Type.Array(routeSchema, {
        title: "Routes",
        description: "A caller always gets the same route while the shares are unchanged.",
        minItems: 1,
        maxItems: 100,
    }),
});

/** JSON Schema of the operators' document, with titles and descriptions for forms. */
export const documentSchema = createRecord(
    "Operators' document",
    "Teams and their access, the targets that serve requests, and prepaid budgets.",
    {
        teams: Type.Array(teamSchema, { title: "Teams", maxItems: MAX_LIST_ITEMS }),
        budgets: Type.Array(budgetSchema, { title: "Budgets", maxItems: 1_000_000 }),
        targets: Type.Array(targetSchema, { title: "Targets", maxItems: MAX_LIST_ITEMS }),
        offerings: Type.Array(offeringSchema, { title: "Offerings", maxItems: MAX_LIST_ITEMS }),
        rules: Type.Array(ruleSchema, { title: "Rules", maxItems: MAX_LIST_ITEMS }),
    },
);
