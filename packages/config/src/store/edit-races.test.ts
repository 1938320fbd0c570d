import { hasResult } from "@ospreyreel/errors";
import { MemoryKvService } from "@ospreyreel/kv/fixtures";
import { MemoryNetwork } from "@ospreyreel/peer/fixtures";
import type { VersionedDocument } from "@ospreyreel/types";
import test, { type ExecutionContext } from "ava";
import { parseDocument } from "../document/parse-document.js";
import {
    createRandomInt,
    injectFaults,
    type OperatorReport,
    type RejectedEdit,
    runOperator,
} from "../fixtures/racing-operators.js";
import { createInstance, type TestInstance } from "../fixtures/stores.js";
import { decodeVersionedDocument } from "./document-records.js";

const SEEDS = 48;
const OPERATORS = 10;
const EDITS_EACH = 3;

const createOperators = (service: MemoryKvService, seed: number): readonly TestInstance[] => {
    const pick = createRandomInt(seed);
    const network = new MemoryNetwork();
    return Array.from({ length: OPERATORS }, (_value, index) => {
        const wait = () => Promise.resolve();
        const instance = createInstance({ instance: `entry-${index}`, network, service, wait });
        injectFaults(instance.kv, pick);
        return instance;
    });
};

/** Collects the revisions that become active at an instance. */
const followRevisions = (t: ExecutionContext, { store }: TestInstance): readonly number[] => {
    const revisions: number[] = [];
    store.start();
    t.teardown(() => store.stop());
    void store.changes().observe(current => revisions.push(current.revision));
    return revisions;
};

const NAMED_WINNER = /but revision (\d+) by (\S+) is in force$/;
const ADDED_TOP_UP = /^\+ budgets\/alpha\/topUps\/([^/]+)\/id: /;

/** Returns the top-ups that a conflict lists as added since the base; undefined where the base could not be read. */
const getReportedTopUps = ({ baseRevision, err }: RejectedEdit): readonly string[] | undefined =>
    err.details.some(line => line.startsWith(`revision ${baseRevision} cannot be read`))
        ? undefined
        : err.details.flatMap(line => ADDED_TOP_UP.exec(line)?.[1] ?? []);

/** Checks that a conflict names an edit accepted after the base and lists exactly the edits accepted since the base. */
const checkConflict = (t: ExecutionContext, history: readonly VersionedDocument[], rejected: RejectedEdit): void => {
    const { baseRevision, err } = rejected;
    const [, revision = "", author] = NAMED_WINNER.exec(err.message) ?? [];
    const winner = history[Number(revision) - 1];
    t.is(winner?.author, author, err.message);
    t.true(winner !== undefined && winner.revision > baseRevision, err.message);
    const reported = getReportedTopUps(rejected);
    if (reported !== undefined) {
        const since = history.slice(baseRevision, Number(revision)).map(entry => entry.editId);
        // A diff is sorted by name.
        t.deepEqual(reported, (baseRevision === 0 ? ["first", ...since] : since).toSorted(), err.message);
    }
};

const checkReports = (t: ExecutionContext, service: MemoryKvService, reports: readonly OperatorReport[]): void => {
    const history = service.readRange("/ospreyreel/config/history/", "/ospreyreel/config/history0")
        .map(entry => decodeVersionedDocument(entry.value));
    const revisionOf = new Map(history.map(entry => [entry.editId, entry.revision]));
    t.is(revisionOf.size, history.length, "an edit is in history twice");
    t.deepEqual(history.map(entry => entry.revision), history.map((_entry, index) => index + 1));
    t.is(history.length, OPERATORS * EDITS_EACH, "the history contains an edit that was not reported as applied");
    for (const { applied, notApplied } of reports) {
        applied.forEach((revision, editId) => t.is(revisionOf.get(editId), revision, editId));
        notApplied.forEach((_rejected, editId) =>
            t.false(revisionOf.has(editId), `${editId} was reported as not applied`)
        );
    }
    const conflicts = reports.flatMap(({ notApplied }) => [...notApplied.values()])
        .filter(({ err }) => hasResult(err, "documentConflict"));
    t.true(conflicts.length > 0, "no edit conflicted");
    conflicts.forEach(rejected => checkConflict(t, history, rejected));
    const topUps = parseDocument(history.at(-1)?.text ?? "").budgets[0]?.topUps.map(topUp => topUp.id) ?? [];
    t.deepEqual(topUps, ["first", ...history.map(entry => entry.editId)], "an accepted edit was undone");
};

for (let seed = 1; seed <= SEEDS; seed++) {
    test.serial(`concurrent operators with lost replies get correct outcomes, seed ${seed}`, async t => {
        const service = new MemoryKvService();
        const instances = createOperators(service, seed);
        const revisions = instances.map(instance => followRevisions(t, instance));
        const reports = await Promise.all(
            instances.map((instance, index) => runOperator(instance, `operator-${index}`, EDITS_EACH)),
        );
        service.applyDelayed();
        checkReports(t, service, reports);
        for (const list of revisions) {
            t.deepEqual(list, [...new Set(list)].sort((a, b) => a - b), "an active revision decreased");
        }
    });
}
