import { parseCheckedJson, readSettingsText } from "../json/checked-json.js";
import type { Fault } from "../json/fault.js";
import { createShapeCheck } from "../json/shape.js";
import { settingsSchema } from "./settings-schema.js";
import type { Settings } from "./settings.js";

const MS_PER_S = 1000;

const checkShape = createShapeCheck(settingsSchema);

const findTimingFaults = (settings: Pick<Settings, "fleet" | "orders">): readonly Fault[] => {
    const { heartbeatMs, peerTimeoutMs, sealAfterMs } = settings.fleet;
    const { leaseTtlS, marginMs } = settings.orders;
    const faults: Fault[] = [];
    if (peerTimeoutMs <= heartbeatMs) {
        faults.push({ path: ["fleet", "peerTimeoutMs"], message: `must be more than heartbeatMs (${heartbeatMs})` });
    }
    if (sealAfterMs < peerTimeoutMs) {
        faults.push({ path: ["fleet", "sealAfterMs"], message: `must be at least peerTimeoutMs (${peerTimeoutMs})` });
    }
    if (marginMs >= leaseTtlS * MS_PER_S) {
        faults.push({ path: ["orders", "marginMs"], message: `must be less than leaseTtlS (${leaseTtlS} s)` });
    }
    return faults;
};

/**
 * Parses settings and fills in defaults; throws `invalidSettings`, which lists every fault as
 * `file:line:column path: message`.
 */
export const parseSettings = (text: string, fileName: string): Settings => {
    const settings = parseCheckedJson(text, fileName, checkShape, findTimingFaults);
    return { ...settings, metrics: settings.metrics };
};

/** Reads and parses a settings file; throws `invalidSettings` also where it cannot be read. */
export const readSettings = async (file: string): Promise<Settings> =>
    parseSettings(await readSettingsText(file), file);
