import type { StatusResponse } from "@ospreyreel/config";
import type { InstanceInfo } from "@ospreyreel/types";

/** Status of one instance, or the result name of the failed request. */
export interface StatusReport {
    readonly operator: string;
    readonly status: StatusResponse | undefined;
    readonly failure: string | undefined;
}

/** One instance in the status table. */
export interface StatusRow {
    readonly instance: string;
    readonly availabilityZone: string;
    /** From its own response or from its heartbeats to a queried instance; "unreachable" if the request to it failed. */
    readonly state: string;
    readonly revision: number;
    /** Number of revisions behind the highest one in the table. */
    readonly lag: number;
    /** "itself", the instance that reported the heartbeats, or the result name if unreachable. */
    readonly source: string;
}

const describeState = ({ self, ready, stale }: StatusResponse): string => {
    const notes = [...(ready ? [] : ["not ready"]), ...(stale ? ["stale"] : [])];
    return notes.length === 0 ? self.state : `${self.state} (${notes.join(", ")})`;
};

const createRow = (info: InstanceInfo, state: string, source: string): Omit<StatusRow, "lag"> => ({
    instance: info.instance,
    availabilityZone: info.availabilityZone,
    state,
    revision: info.configRevision,
    source,
});

/** Creates one row per instance: from its own response if it was queried, otherwise from its heartbeats to others. */
export const createStatusRows = (reports: readonly StatusReport[]): readonly StatusRow[] => {
    const rows = new Map<string, Omit<StatusRow, "lag">>();
    for (const { status } of reports) {
        if (status !== undefined) {
            rows.set(status.self.instance, createRow(status.self, describeState(status), "itself"));
        }
    }
    for (const { status } of reports) {
        for (const peer of status?.peers ?? []) {
            if (!rows.has(peer.instance)) {
                rows.set(peer.instance, createRow(peer, peer.state, status?.self.instance ?? ""));
            }
        }
    }
    const failedRows = reports.filter(report => report.status === undefined).map(({ operator, failure = "" }) => ({
        instance: operator,
        availabilityZone: "",
        state: "unreachable",
        revision: 0,
        lag: 0,
        source: failure,
    }));
    const highest = Math.max(0, ...[...rows.values()].map(row => row.revision));
    const knownRows = [...rows.values()].map(row => ({ ...row, lag: highest - row.revision }));
    return [...knownRows.sort((a, b) => (a.instance < b.instance ? -1 : 1)), ...failedRows];
};
