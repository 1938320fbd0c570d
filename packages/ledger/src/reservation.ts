import type { Session } from "./session.js";

/** Tokens set aside for one request by one incarnation. */
export interface Reservation {
    readonly budget: string;
    readonly tokens: number;
    readonly session: Session;
}

/** A reservation whose intent the copy holder has acknowledged: the request may be dispatched. */
export interface AcknowledgedIntent {
    readonly intentId: string;
    readonly reservation: Reservation;
}
