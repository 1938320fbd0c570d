import { createShapeCheck, type Fault, parseCheckedJson, readSettingsText } from "@ospreyreel/config";
import { type Static, Type } from "@sinclair/typebox";
import { MAX_REQUEST_BYTES } from "../message-memory.js";
import { MAX_SECOND_SEND_SHARE } from "../policy/second-send-policy.js";

const HOUR_MS = 3_600_000;
const MS_PER_S = 1_000;

const MAX_DESCRIPTORS = 1_048_576;

/** Room for two of the largest bodies, and a limit beyond any machine's memory, in bytes. */
const MIN_HELD_BYTES = 8 * 1_024 * 1_024;
const MAX_HELD_BYTES = 1_024 * 1_024 * 1_024;

const createAddress = (description: string) =>
    Type.String({ description: `${description} As IP:PORT.`, pattern: "^[0-9.]+:[0-9]{1,5}$" });

/** Schema of the settings of a relay instance. */
export const relaySettingsSchema = Type.Object({
    instance: Type.String({ description: "Stable name of this instance, unique in the fleet.", minLength: 1 }),
    availabilityZone: Type.String({ minLength: 1 }),
    region: Type.String({ minLength: 1 }),
    zones: Type.Record(
        Type.String(),
        Type.Union([
            Type.String({ minLength: 1 }),
            Type.Object({ region: Type.Optional(Type.String({ minLength: 1 })) }),
        ]),
        {
            description:
                "Region of each availability zone, as its name or as an object with `region`; a zone without one is in the instance's region.",
            default: {},
        },
    ),
    callers: createAddress("Where callers connect."),
    readiness: createAddress("Where the instance serves readiness checks."),
    directory: createAddress("Where callers request addresses."),
    peer: createAddress("Where other instances connect."),
    handoff: Type.Optional(createAddress(
        "Where other instances hand off connections of their callers; without it this instance takes none.",
    )),
    metrics: createAddress("Where counters, histograms and the state dump are served."),
    sharedKey: Type.String({ description: "Key shared by all instances of the fleet.", minLength: 8 }),
    seeds: Type.Array(createAddress("Where some other instances listen for peers.")),
    kv: Type.Object({
        address: createAddress("The KV service."),
        deadlineMs: Type.Integer({
            description: "Timeout of one call, in milliseconds.",
            minimum: 10,
            maximum: HOUR_MS,
            default: 600,
        }),
        maxCopyAgeS: Type.Number({
            description:
                "Age of the oldest copy from which the KV service may come back, in seconds; 0 where it never does.",
            minimum: 0,
            maximum: HOUR_MS / MS_PER_S,
            default: 8,
        }),
    }, { additionalProperties: false }),
    retries: Type.Object({
        ratio: Type.Number({ description: "Retries allowed for each request to a service.", minimum: 0 }),
        windowS: Type.Number({ description: "Window of the retry limit, in seconds.", exclusiveMinimum: 0 }),
        slack: Type.Number({ description: "Retries allowed in a window regardless of the traffic.", minimum: 0 }),
    }, { additionalProperties: false }),
    processor: Type.Object({
        cores: Type.Number({ description: "Cores of the instance.", exclusiveMinimum: 0, default: 1 }),
        share: Type.Number({ description: "Usable share of the cores.", exclusiveMinimum: 0, default: 1 }),
    }, { additionalProperties: false, default: {} }),
    urgency: Type.Object({
        isEnabled: Type.Boolean({
            description:
                "Whether targets are told how urgent a request is, where the routes or teams of a service differ in priority.",
            default: false,
        }),
    }, { additionalProperties: false, default: {} }),
    secondSends: Type.Object({
        share: Type.Number({
            description: "Largest share of the sends to a service that are second sends of slow requests; 0 for none.",
            minimum: 0,
            maximum: MAX_SECOND_SEND_SHARE,
            default: 0,
        }),
        percentile: Type.Number({
            description: "Percentile of a service's times to the first byte after which a request is slow.",
            minimum: 50,
            maximum: 99,
            default: 95,
        }),
    }, { additionalProperties: false, default: {} }),
    targetReports: Type.Object({
        intervalMs: Type.Integer({
            description:
                "Interval at which the load reports of targets are read for all instances, in milliseconds; grows with the fleet; 0 reads none.",
            minimum: 0,
            maximum: HOUR_MS,
            default: 0,
        }),
    }, { additionalProperties: false, default: {} }),
    placement: Type.Object({
        usesReports: Type.Boolean({
            description: "Whether targets are selected by their loads over all instances; needs `targetReports`.",
            default: false,
        }),
    }, { additionalProperties: false, default: {} }),
    waiting: Type.Object({
        isEnabled: Type.Boolean({
            description:
                "Whether requests wait at the instance for a target with room, and teams share scarce services.",
            default: false,
        }),
        maxMs: Type.Integer({
            description: "Longest wait of a request, in milliseconds; its objective and its deadline shorten it.",
            minimum: 1,
            maximum: HOUR_MS,
            default: 2_000,
        }),
    }, { additionalProperties: false, default: {} }),
    callerLimits: Type.Object({
        descriptors: Type.Integer({
            description:
                "Descriptors that the process may have open, connections included; 0 for the limit that the kernel names, which need not count connections.",
            minimum: 0,
            maximum: MAX_DESCRIPTORS,
            default: 0,
        }),
        maxConnections: Type.Integer({
            description:
                "Open connections at the port for callers; 0 for half of the descriptors of the process. Beyond it, idle and unused ones are closed.",
            minimum: 0,
            maximum: MAX_DESCRIPTORS,
            default: 0,
        }),
        maxStatusConnections: Type.Integer({
            description:
                "Open connections at each of the ports for readiness, addresses and metrics; 0 for 1/32 of the descriptors, at least 16.",
            minimum: 0,
            maximum: MAX_DESCRIPTORS,
            default: 0,
        }),
        maxHeldBytes: Type.Integer({
            description: "Size of the bodies of all open requests, in bytes; beyond it requests are refused.",
            minimum: MIN_HELD_BYTES,
            maximum: MAX_HELD_BYTES,
            default: MAX_REQUEST_BYTES,
        }),
        maxReadingBytes: Type.Integer({
            description:
                "Size of what requests hold beside their bodies until they have arrived whole, in bytes; beyond it the slowest are ended.",
            minimum: MIN_HELD_BYTES,
            maximum: MAX_HELD_BYTES,
            default: MAX_REQUEST_BYTES,
        }),
        progressTimeoutMs: Type.Integer({
            description: "Time in which the body of a request must bring bytes, in milliseconds.",
            minimum: 100,
            maximum: HOUR_MS,
            default: 15_000,
        }),
    }, { additionalProperties: false, default: {} }),
    stopWithinS: Type.Number({ description: "Maximum time from a stop signal to the exit, in seconds.", minimum: 1 }),
    addressTtlS: Type.Number({ description: "Time for which callers may cache addresses, in seconds.", minimum: 0.1 }),
}, { additionalProperties: false });

/** Settings of a relay instance. */
export type RelaySettings = Static<typeof relaySettingsSchema>;

/** Shortest interval of reports, in milliseconds: that in which targets update them. */
const MIN_REPORT_INTERVAL_MS = 100;

const findFaults = ({ targetReports: { intervalMs }, placement }: RelaySettings): readonly Fault[] => {
    const faults: Fault[] = [];
    if (intervalMs > 0 && intervalMs < MIN_REPORT_INTERVAL_MS) {
        const message = `must be 0 or at least ${MIN_REPORT_INTERVAL_MS}`;
        faults.push({ path: ["targetReports", "intervalMs"], message });
    }
    if (placement.usesReports && intervalMs === 0) {
        faults.push({ path: ["placement", "usesReports"], message: "needs a targetReports.intervalMs above 0" });
    }
    return faults;
};

const checkShape = createShapeCheck(relaySettingsSchema);

/** Parses the settings; throws `invalidSettings` with the location of every error. */
export const parseRelaySettings = (text: string, file: string): RelaySettings =>
    parseCheckedJson(text, file, checkShape, findFaults);

/** Reads the settings; throws `invalidSettings` with the location of every error. */
export const readRelaySettings = async (file: string): Promise<RelaySettings> =>
    parseRelaySettings(await readSettingsText(file), file);
