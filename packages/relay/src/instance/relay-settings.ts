import { createShapeCheck, parseCheckedJson, readSettingsText } from "@ospreyreel/config";
import { type Static, Type } from "@sinclair/typebox";

const HOUR_MS = 3_600_000;

const createAddress = (description: string) =>
    Type.String({ description: `${description} As IP:PORT.`, pattern: "^[0-9.]+:[0-9]{1,5}$" });

/** Shape of the settings of an instance that relays. */
export const relaySettingsSchema = Type.Object({
    instance: Type.String({ description: "Stable name of this instance, unique in the fleet.", minLength: 1 }),
    availabilityZone: Type.String({ minLength: 1 }),
    region: Type.String({ minLength: 1 }),
    callers: createAddress("Where callers connect."),
    readiness: createAddress("Where the instance tells whether it takes requests."),
    directory: createAddress("Where callers ask for addresses."),
    peer: createAddress("Where other instances connect."),
    metrics: createAddress("Where counters, histograms and the state dump are served."),
    sharedKey: Type.String({ description: "Key shared by all instances of the fleet.", minLength: 8 }),
    seeds: Type.Array(createAddress("Where some other instances listen for peers.")),
    kv: Type.Object({
        address: createAddress("The KV service."),
        deadlineMs: Type.Integer({
            description: "Longest wait for one call, in milliseconds.",
            minimum: 10,
            maximum: HOUR_MS,
            default: 600,
        }),
    }, { additionalProperties: false }),
    retries: Type.Object({
        ratio: Type.Number({ description: "Repeated sends to a service for each request for it.", minimum: 0 }),
        windowS: Type.Number({ description: "Window of that bound, in seconds.", exclusiveMinimum: 0 }),
        slack: Type.Number({ description: "Repeated sends in a window whatever the traffic.", minimum: 0 }),
    }, { additionalProperties: false }),
    processor: Type.Object({
        cores: Type.Number({ description: "Cores of the instance.", exclusiveMinimum: 0, default: 1 }),
        share: Type.Number({ description: "Share of them that it may use.", exclusiveMinimum: 0, default: 1 }),
    }, { additionalProperties: false, default: {} }),
    stopWithinS: Type.Number({ description: "Time from a stop signal to the end, in seconds.", minimum: 1 }),
    addressTtlS: Type.Number({ description: "Time for which callers keep addresses, in seconds.", minimum: 0.1 }),
}, { additionalProperties: false });

/** Settings of an instance that relays. */
export type RelaySettings = Static<typeof relaySettingsSchema>;

const checkShape = createShapeCheck(relaySettingsSchema);

/** Reads the settings; throws `invalidSettings` that lists every fault with its place. */
export const readRelaySettings = async (file: string): Promise<RelaySettings> =>
    parseCheckedJson(await readSettingsText(file), file, checkShape);
