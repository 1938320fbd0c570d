import { readFileSync } from "node:fs";

/** Assumed where the system does not tell; the smallest instances of known sites have about half of it. */
const DEFAULT_DESCRIPTORS = 4_096;

/** Number of descriptors that this process may have open. */
export const readDescriptorLimit = (): number => {
    try {
        const limits = readFileSync("/proc/self/limits", "utf8");
        return Number(/^Max open files\s+(\d+)/m.exec(limits)?.[1] ?? DEFAULT_DESCRIPTORS);
    }
    catch {
        return DEFAULT_DESCRIPTORS;
    }
};
