import type { KvCall } from "@ospreyreel/kv";
import { collectDefaultMetrics, Counter, Gauge, Histogram, Registry } from "prom-client";
import type { RelayMeter } from "../relay.js";
import { getKeyArea } from "./get-key-area.js";

/** Upper bounds of the latency histogram's buckets, in seconds; they cover the usual latency targets and timeouts. */
const LATENCY_BUCKETS_S = [0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.4, 0.6, 1, 2, 4, 8, 12];

const MS_PER_S = 1_000;

/** Counters and histograms of an instance, served as text. */
export class RelayMetrics implements RelayMeter {
    private readonly registry = new Registry();
    private readonly ends: Counter;
    private readonly sends: Counter;
    private readonly endsBeforeAnswer: Counter;
    private readonly kvCalls: Counter;
    private readonly latency: Histogram;
    private readonly gauges = new Map<string, Gauge>();
    private readonly counters = new Map<string, Counter>();

    constructor() {
        const registers = [this.registry];
        collectDefaultMetrics({ register: this.registry, prefix: "ospreyreel_" });
        this.ends = new Counter({
            name: "ospreyreel_requests_total",
            help: "Requests by how they ended.",
            labelNames: ["result", "service"],
            registers,
        });
        this.sends = new Counter({
            name: "ospreyreel_sends_total",
            help: "Sends to targets by what became of them.",
            labelNames: ["outcome", "service"],
            registers,
        });
        this.endsBeforeAnswer = new Counter({
            name: "ospreyreel_sends_ended_before_answer_total",
            help: "Sends that ended before the answer began, without a timeout or a caller who left.",
            labelNames: ["service"],
            registers,
        });
        this.kvCalls = new Counter({
            name: "ospreyreel_kv_calls_total",
            help: "Calls to the KV service by kind and by what they are for.",
            labelNames: ["call", "area"],
            registers,
        });
        this.latency = new Histogram({
            name: "ospreyreel_request_seconds",
            help: "Time from a request's arrival to its end.",
            labelNames: ["result", "service"],
            buckets: LATENCY_BUCKETS_S,
            registers,
        });
    }

    recordEnd(result: string, service: string, ms: number): void {
        this.ends.inc({ result, service });
        this.latency.observe({ result, service }, ms / MS_PER_S);
    }

    recordSend(outcome: string, service: string): void {
        this.sends.inc({ outcome, service });
    }

    recordEndBeforeAnswer(service: string): void {
        this.endsBeforeAnswer.inc({ service });
    }

    /** Counts a call to the KV service. */
    recordKvCall({ kind, key }: KvCall): void {
        this.kvCalls.inc({ call: kind, area: getKeyArea(key) });
    }

    /** Adds to a counter, which is created on first use. */
    add(name: string, amount = 1): void {
        const known = this.counters.get(name);
        const counter = known ?? new Counter({
            name: `ospreyreel_${name}_total`,
            help: name.replaceAll("_", " "),
            registers: [this.registry],
        });
        this.counters.set(name, counter);
        counter.inc(amount);
    }

    /** Sets a gauge, which is created on first use. */
    set(name: string, value: number): void {
        const known = this.gauges.get(name);
        const gauge = known ?? new Gauge({
            name: `ospreyreel_${name}`,
            help: name.replaceAll("_", " "),
            registers: [this.registry],
        });
        this.gauges.set(name, gauge);
        gauge.set(value);
    }

    /** All metrics in the Prometheus text format. */
    async getText(): Promise<string> {
        return await this.registry.metrics();
    }
}
