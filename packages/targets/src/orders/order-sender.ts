import type { Target } from "@ospreyreel/config";
import { OspreyError } from "@ospreyreel/errors";
import { randomUUID } from "node:crypto";
import type { TargetClient } from "../client/target-client.js";
import type { DesiredState } from "./desired-state.js";

/** An order to one engine. */
export interface Order {
    readonly target: Target;
    /** Fencing number of the holder's lease. */
    readonly fencing: number;
    readonly desired: DesiredState;
    /** Timeout of the response, in milliseconds; the order is aborted after it. */
    readonly timeoutMs: number;
}

/** Outcome of an order; `fenced` means that the engine has seen a higher fencing number. */
export type OrderOutcome = "accepted" | "fenced" | "deferred";

/** Sends orders to engines and reads back their active state. */
export abstract class OrderSender {
    /** Sends an order; throws where its outcome is unknown. */
    abstract send(order: Order): Promise<OrderOutcome>;

    /** Returns the active state; `undefined` before the first order. */
    abstract read(target: Target, timeoutMs: number): Promise<DesiredState | undefined>;
}

const ORDERS_PATH = "/v1/orders";

/** Sends orders over HTTP. */
export class HttpOrderSender extends OrderSender {
    constructor(private readonly client: TargetClient) {
        super();
    }

    override async send(order: Order): Promise<OrderOutcome> {
        const { status } = await this.client.call({
            target: order.target,
            method: "POST",
            path: ORDERS_PATH,
            headers: { "content-type": "application/json" },
            body: JSON.stringify({ fencing: order.fencing, desired: order.desired }),
            streamId: randomUUID(),
            headersTimeoutMs: order.timeoutMs,
            signal: AbortSignal.timeout(order.timeoutMs),
        });
        switch (status) {
            case 200:
                return "accepted";
            case 409:
                return "fenced";
            case 429:
            case 503:
                return "deferred";
            default:
                throw new OspreyError(`${order.target.name} responded with status ${status}`, {
                    result: "targetFailed",
                });
        }
    }

    override async read(target: Target, timeoutMs: number): Promise<DesiredState | undefined> {
        const res = await this.client.call({
            target,
            path: ORDERS_PATH,
            streamId: randomUUID(),
            headersTimeoutMs: timeoutMs,
            signal: AbortSignal.timeout(timeoutMs),
        });
        if (res.status !== 200) {
            throw new OspreyError(`${target.name} responded with status ${res.status}`, { result: "targetFailed" });
        }
        return (JSON.parse(res.body.toString("utf8")) as { readonly desired?: DesiredState; }).desired;
    }
}
