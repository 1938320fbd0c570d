import { BoundedMap } from "../bounded-map.js";
import { type GatePass, type GateRefusal, type GateRequest, RequestGate } from "./request-gate.js";
import { type GateView, ServiceGate, type ServiceGateOptions } from "./service-gate.js";

/** Maximum number of services whose state is kept. */
const MAX_SERVICES = 1_024;

/** Lets requests wait for room at the targets of their service, each service by itself. */
export class WaitingGate extends RequestGate {
    private readonly gates = new BoundedMap<ServiceGate>(MAX_SERVICES);
    private isClosed = false;

    constructor(private readonly opts: ServiceGateOptions) {
        super();
    }

    /** Gates of the services that had requests. */
    get view(): readonly GateView[] {
        return this.gates.list().map(([, gate]) => gate.view);
    }

    override enter(req: GateRequest): GatePass | Promise<GatePass | GateRefusal> {
        return this.getGate(req.service).enter(req);
    }

    /** Admits waiting requests of a service as far as there is room; to be called when a send has ended. */
    drain(service: string): void {
        this.gates.get(service)?.drain();
    }

    override close(): void {
        this.isClosed = true;
        this.gates.list().forEach(([, gate]) => gate.close());
    }

    private getGate(service: string): ServiceGate {
        const known = this.gates.get(service);
        if (known !== undefined) {
            return known;
        }
        const gate = new ServiceGate(service, this.opts);
        if (this.isClosed) {
            gate.close();
        }
        this.gates.set(service, gate);
        return gate;
    }
}
