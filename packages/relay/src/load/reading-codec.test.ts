import test from "ava";
import { DeliveryDelay } from "./delivery-delay.js";
import { decodeReadings, encodeReadings } from "./reading-codec.js";
import { getReaderCount, getReportIntervalMs, getRoundBytes } from "./report-interval.js";
import type { TargetReading } from "./target-reading.js";

const createReading = (start: number): TargetReading => ({
    start,
    ageMs: 160,
    running: 12,
    queued: 3,
    usedTokens: 192_000,
    capacityTokens: 235_264,
});

test("readings are passed on in 11 bytes each, and a cut message gives those before the cut", t => {
    const readings = Array.from({ length: 20 }, (_, index) => createReading(0xffff_ff00 + index));
    const bytes = encodeReadings([...readings, { ...createReading(1), capacityTokens: 435_712, queued: 70_000 }]);
    t.deepEqual(decodeReadings(bytes).slice(0, 20), readings);
    t.like(decodeReadings(bytes)[20], { start: 1, capacityTokens: 435_712, queued: 70_000 });
    t.true(encodeReadings(readings).length <= 20 * 11);
    t.is(decodeReadings(bytes.subarray(0, bytes.length - 1)).length, 20);
    t.deepEqual(decodeReadings(Buffer.alloc(64, 0xff)), []);
});

test("a message that was held up by a pause is older than it says", t => {
    const delays = new DeliveryDelay();
    t.is(delays.getDelayMs("a", 1_000, 51_000), 0);
    t.is(delays.getDelayMs("a", 1_500, 56_500), 4_999.5 - 5);
    t.true(delays.getDelayMs("a", 7_000, 57_000) < 1);
    // Another start of the sender has another clock.
    t.is(delays.getDelayMs("b", 10, 57_100), 0);
});

test("the bytes for reports stay within what control traffic may use, up to 1,200 instances in 7 regions", t => {
    const largest = { instances: 172, fleet: 1_200, targets: 143 };
    t.true(getRoundBytes(largest) / getReportIntervalMs(500, largest) * 1_000 <= 5_000);
    t.true(getReportIntervalMs(500, largest) < 2_000);
    t.is(getReportIntervalMs(500, { instances: 73, fleet: 73, targets: 101 }), 500);
    t.deepEqual([1, 4, 80, 1_200].map(getReaderCount), [2, 2, 9, 35]);
});
