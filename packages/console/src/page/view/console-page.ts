import { getAt } from "../document/edit-value.js";
import { type FaultLine, isPathWithin, readFaultLine } from "../document/fault-line.js";
import type { EditOutcome } from "../fleet/edit-outcome.js";
import type { EditSession } from "../fleet/edit-session.js";
import type { FormSchema } from "../form/form-schema.js";
import { isAccepted } from "../form/is-accepted.js";
import type { FormContext } from "./form-context.js";
import type { PageElements } from "./page-elements.js";
import { createCheckReport, createFailure, createMergeReport, createOutcomeReport } from "./result-view.js";
import { createValueField } from "./value-field.js";

/** The page after sign-in: the form, its buttons and the result of the last request. */
export class ConsolePage {
    private faults: readonly FaultLine[] = [];
    private isBusy = false;
    private isBaseOutdated = false;

    constructor(
        private readonly elements: PageElements,
        private readonly session: EditSession,
        private readonly schema: FormSchema,
    ) {}

    /** Shows the form and registers the event listeners. */
    start(): void {
        const { elements } = this;
        elements.signIn.hidden = true;
        elements.work.hidden = false;
        elements.check.addEventListener("click", () => void this.run(() => this.check()));
        elements.apply.addEventListener("click", () => void this.run(() => this.apply()));
        elements.repeat.addEventListener("click", () => void this.run(() => this.repeat()));
        elements.reapply.addEventListener("click", () => void this.run(() => this.reapply()));
        elements.reload.addEventListener("click", () => void this.run(() => this.reload()));
        elements.author.addEventListener("input", () => this.updateControls());
        elements.acceptComments.addEventListener("change", () => this.updateControls());
        globalThis.addEventListener("beforeunload", event => {
            if (this.session.isEdited || this.session.isOutcomeUnknown) {
                event.preventDefault();
            }
        });
        this.showForm();
        this.updateControls();
    }

    private async run(action: () => Promise<readonly HTMLElement[]>): Promise<void> {
        this.isBusy = true;
        this.updateControls();
        try {
            this.elements.result.replaceChildren(...await action());
            this.elements.result.classList.remove("outdated");
            this.elements.result.scrollIntoView({ block: "nearest" });
        }
        finally {
            this.isBusy = false;
            this.updateControls();
        }
    }

    private async check(): Promise<readonly HTMLElement[]> {
        const result = await this.session.check();
        if (result.kind !== "ok") {
            return createFailure(result);
        }
        const { revision } = this.session.base;
        this.isBaseOutdated = result.body.baseRevision !== revision;
        this.setFaults(result.body.faults);
        return createCheckReport(result.body, revision);
    }

    private async apply(): Promise<readonly HTMLElement[]> {
        return this.showOutcome(await this.session.apply(this.elements.author.value.trim()));
    }

    private async repeat(): Promise<readonly HTMLElement[]> {
        return this.showOutcome(await this.session.repeat());
    }

    private showOutcome(outcome: EditOutcome): readonly HTMLElement[] {
        this.isBaseOutdated = outcome.kind === "conflict";
        if (outcome.kind === "accepted") {
            this.showNewBase();
        }
        else if (outcome.kind === "refused") {
            this.setFaults(outcome.refusal.details);
        }
        return createOutcomeReport(outcome, this.session.editId ?? "");
    }

    private async reapply(): Promise<readonly HTMLElement[]> {
        const result = await this.session.reapply();
        if (result.kind !== "ok") {
            return createFailure(result);
        }
        this.showNewBase();
        return createMergeReport(this.session.base.revision, result.body.overlaps);
    }

    private async reload(): Promise<readonly HTMLElement[]> {
        const { isEdited, isOutcomeUnknown } = this.session;
        if ((isEdited || isOutcomeUnknown) && !globalThis.confirm("Drop this edit and load the document in force?")) {
            return [...this.elements.result.children] as HTMLElement[];
        }
        const result = await this.session.load();
        if (result.kind !== "ok") {
            return createFailure(result);
        }
        this.showNewBase();
        return [];
    }

    /** Shows the form for a new base and clears the consent to drop comments, which applied to the old text. */
    private showNewBase(): void {
        this.isBaseOutdated = false;
        this.faults = [];
        this.elements.acceptComments.checked = false;
        this.showForm();
    }

    private setFaults(lines: readonly string[]): void {
        const hadFaults = this.faults.length > 0;
        this.faults = lines.map(readFaultLine);
        if (hadFaults || this.faults.length > 0) {
            this.showForm();
        }
    }

    private showForm(): void {
        const { session } = this;
        const ctx: FormContext = {
            get: path => getAt(session.document, path),
            set: (path, value) => {
                session.set(path, value);
                // The displayed result describes the text before this change.
                this.elements.result.classList.add("outdated");
                this.updateControls();
            },
            isAccepted: path => isAccepted(session.base.document, path),
            getFaults: path =>
                this.faults
                    .filter(fault => fault.path.length === path.length && isPathWithin(fault.path, path))
                    .map(fault => fault.message),
            hasFaultWithin: path => this.faults.some(fault => isPathWithin(fault.path, path)),
        };
        const props = { path: [], label: this.schema.title ?? "", isRequired: true };
        this.elements.form.replaceChildren(createValueField(this.schema, props, ctx));
    }

    private updateControls(): void {
        const { elements, session, isBusy } = this;
        const { revision, author, hasComments } = session.base;
        const isOutcomeUnknown = session.isOutcomeUnknown;
        elements.base.textContent = revision === 0
            ? "No document was accepted yet."
            : `Editing from revision ${revision} by ${author}.`;
        elements.form.disabled = isBusy || isOutcomeUnknown;
        elements.comments.hidden = !hasComments;
        elements.check.disabled = isBusy || isOutcomeUnknown;
        elements.apply.disabled = isBusy || !session.isApplicable || elements.author.value.trim() === ""
            || (hasComments && !elements.acceptComments.checked);
        elements.repeat.hidden = !isOutcomeUnknown;
        elements.repeat.disabled = isBusy;
        elements.reapply.hidden = !this.isBaseOutdated;
        elements.reapply.disabled = isBusy;
        elements.reload.disabled = isBusy;
    }
}
