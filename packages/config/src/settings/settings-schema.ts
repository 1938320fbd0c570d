import { type TObject, type TProperties, Type } from "@sinclair/typebox";

const createSection = <T extends TProperties>(description: string, properties: T): TObject<T> =>
    Type.Object(properties, { description, additionalProperties: false });

/** A section that may be omitted, since all its members have defaults. */
const createOptionalSection = <T extends TProperties>(description: string, properties: T): TObject<T> =>
    Type.Object(properties, { description, additionalProperties: false, default: {} });

const createInteger = (description: string, minimum: number, maximum: number, defaultValue?: number) =>
    Type.Integer({ description, minimum, maximum, ...(defaultValue === undefined ? {} : { default: defaultValue }) });

const createName = (description: string) =>
    Type.String({ description, pattern: "^[A-Za-z0-9][A-Za-z0-9._-]*$", maxLength: 100 });

const createSecret = (description: string) => Type.String({ description, minLength: 8, maxLength: 1000 });

const MAX_PORT = 65_535;
const HOUR_MS = 3_600_000;
const DAY_S = 86_400;

const addressMembers = {
    host: Type.String({ description: "IPv4 or IPv6 number, never a name.", format: "ip-number" }),
    port: createInteger("TCP port; 0 selects any free one.", 0, MAX_PORT),
};

/** JSON Schema of the settings file; also fills in the defaults. */
export const settingsSchema = createSection("Settings of one daemon.", {
    instance: createName("Stable name of this instance, unique in the fleet."),
    availabilityZone: createName("Availability zone of this instance."),
    region: createName("Region of the availability zone."),
    caller: createSection("Where callers connect.", addressMembers),
    operator: createSection("Where operators connect.", {
        ...addressMembers,
        token: createSecret("Bearer token that operators present."),
    }),
    peer: createSection("Where other instances connect.", {
        ...addressMembers,
        sharedKey: createSecret("Key shared by all instances of the fleet."),
    }),
    kv: createSection("The platform's key-value service.", {
        endpoints: Type.Array(Type.String({ format: "ip-base-url" }), {
            description: "Base URLs by IP number.",
            minItems: 1,
            maxItems: 16,
            uniqueItems: true,
        }),
        prefix: Type.String({
            description: "Prefix of every key; the same in the whole fleet.",
            pattern: "^(/[A-Za-z0-9._-]+)+$",
            maxLength: 200,
            default: "/ospreyreel",
        }),
        deadlineMs: createInteger("Timeout of one call, in milliseconds.", 10, HOUR_MS, 1000),
    }),
    instanceList: createSection("The platform's list of live and leaving instances and targets.", {
        url: Type.String({ description: "URL of the list, by IP number.", format: "ip-url", maxLength: 2000 }),
        pollMs: createInteger("Time between reads, in milliseconds.", 10, HOUR_MS, 1000),
    }),
    metrics: Type.Optional(createSection("Where StatsD metrics are sent; without this section none are sent.", {
        host: addressMembers.host,
        port: createInteger("UDP port.", 1, MAX_PORT),
    })),
    fleet: createOptionalSection("Communication between instances.", {
        heartbeatMs: createInteger("Time between heartbeats to each peer, in milliseconds.", 10, HOUR_MS, 500),
        peerTimeoutMs: createInteger(
            "Time without contact after which a peer counts as lost, in milliseconds; longer than heartbeatMs.",
            10,
            HOUR_MS,
            2000,
        ),
        sealAfterMs: createInteger(
            "Time without contact after which a copy holder seals its copy, in milliseconds; at least peerTimeoutMs.",
            10,
            HOUR_MS,
            3000,
        ),
        addressTtlS: createInteger("How long callers may cache an address response, in seconds.", 1, DAY_S, 10),
        staleAfterS: createInteger(
            "Time without contact to the key-value service and any peer after which requests are rejected, "
                + "in seconds; 0 means never.",
            0,
            DAY_S,
            60,
        ),
    }),
    ledger: createOptionalSection("Grants and bills.", {
        shards: createInteger(
            "Number of records over which budgets are distributed; the same in the whole fleet.",
            1,
            4096,
            16,
        ),
        flushIntervalMs: createInteger("Time between settlements, in milliseconds.", 10, HOUR_MS, 1000),
        billWindowS: createInteger("How long a request key is stored, in seconds.", 1, 30 * DAY_S, 900),
        drawTimeoutMs: createInteger("Longest wait for a grant, in milliseconds.", 10, HOUR_MS, 2000),
    }),
    orders: createOptionalSection("Orders to engines.", {
        loadsPerS: Type.Number({
            description: "Loads of weights that the weight store allows per second.",
            minimum: 0.001,
            maximum: 1000,
            default: 1,
        }),
        loadBurst: createInteger("Loads of weights that the weight store allows in a burst after a pause.", 1, 1000, 2),
        leaseTtlS: createInteger("Time after which a holder's lease expires unless renewed, in seconds.", 3, 3600, 10),
        marginMs: createInteger(
            "Time before the lease's end in which engines that ignore fencing numbers get no orders, in milliseconds; "
                + "shorter than the lease.",
            0,
            HOUR_MS,
            2000,
        ),
        maxOrderDelayMs: createInteger(
            "Longest time from sending an order until it takes effect, in milliseconds; a new holder waits this long "
                + "before it sends orders to engines that ignore fencing numbers.",
            0,
            HOUR_MS,
            5000,
        ),
    }),
    limits: createOptionalSection("Bounds on callers' requests and targets' responses.", {
        maxBodyBytes: createInteger("Largest request body, in bytes.", 1, 1_073_741_824, 1_048_576),
        maxHeldBytes: createInteger(
            "Total size of the bodies of running requests, in bytes; beyond it requests are rejected as overloaded.",
            1,
            Number.MAX_SAFE_INTEGER,
            134_217_728,
        ),
        maxAnswerBytes: createInteger(
            "Largest non-streamed response of a target, in bytes; a larger one is billed but not returned to callers.",
            1024,
            1_073_741_824,
            16_777_216,
        ),
        maxHeaderBytes: createInteger("Largest request header, in bytes.", 1024, 1_048_576, 16_384),
        bodyTimeoutMs: createInteger(
            "Longest time in which a request body has to arrive, in milliseconds.",
            10,
            HOUR_MS,
            10_000,
        ),
        stallTimeoutMs: createInteger(
            "Time after which a caller's connection is closed if it reads nothing of its response, in milliseconds.",
            10,
            HOUR_MS,
            30_000,
        ),
        maxQueued: createInteger("Requests that may wait for a target.", 0, 1_000_000, 256),
    }),
});
