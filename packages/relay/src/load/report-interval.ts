/** Size of the part of the fleet that shares reports, and of the whole. */
export interface ReportScale {
    /** Live instances of the region. */
    readonly instances: number;
    /** Live instances of all regions. */
    readonly fleet: number;
    /** Targets whose reports are shared in the region. */
    readonly targets: number;
}

/** Minimum number of readers, so that a lost one costs half of the reports at most. */
const MIN_READERS = 2;

/** Bytes of one message without readings and of its response, framing included; measured. */
const MESSAGE_BYTES = 150;

/** Bytes of one encoded reading; measured. */
const READING_BYTES = 10;

/** A message is received once and passed on once, on average. */
const DIRECTIONS = 2;

/** Bytes per second for reports in small fleets, and in the largest ones, where control traffic may use 5 KB a second. */
const SMALL_FLEET_BYTES_PER_S = 10_000;
const LARGE_FLEET_BYTES_PER_S = 4_500;
const SMALL_FLEET = 100;
const LARGE_FLEET = 1_200;

const MS_PER_S = 1_000;

/** Number of instances that read reports: the square root of the region's, so that it grows more slowly than the fleet. */
export const getReaderCount = (instances: number): number => Math.max(MIN_READERS, Math.ceil(Math.sqrt(instances)));

/** Bytes that one instance sends and receives in each interval, on average. */
export const getRoundBytes = ({ instances, targets }: ReportScale): number =>
    DIRECTIONS * (getReaderCount(instances) * MESSAGE_BYTES + targets * READING_BYTES);

/** Interval between two reads of a target, in milliseconds: the set one, or what the bytes per second allow in a large fleet. */
export const getReportIntervalMs = (setMs: number, scale: ReportScale): number => {
    const largeness = Math.min(1, Math.max(0, (scale.fleet - SMALL_FLEET) / (LARGE_FLEET - SMALL_FLEET)));
    const bytesPerS = SMALL_FLEET_BYTES_PER_S + largeness * (LARGE_FLEET_BYTES_PER_S - SMALL_FLEET_BYTES_PER_S);
    return Math.max(setMs, getRoundBytes(scale) / bytesPerS * MS_PER_S);
};
