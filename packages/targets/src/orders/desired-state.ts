import type { ModelOffering, OperatorsDocument } from "@ospreyreel/config";

/** A model with its adapter and version, as engines load it. */
export interface DesiredModel {
    readonly model: string;
    readonly adapter?: string;
    readonly version?: string;
}

/** The models that an engine should have loaded, and its role. */
export interface DesiredState {
    /** Sorted, without duplicates. */
    readonly models: readonly DesiredModel[];
    readonly role: "serving" | "idle";
}

const toDesiredModel = ({ model, adapter, version }: ModelOffering): DesiredModel => ({
    model,
    ...(adapter === undefined ? {} : { adapter }),
    ...(version === undefined ? {} : { version }),
});

/** Returns a key by which models are compared. */
export const getModelKey = ({ model, adapter, version }: DesiredModel): string =>
    JSON.stringify([model, adapter ?? "", version ?? ""]);

const createDesiredState = (offerings: readonly ModelOffering[]): DesiredState => {
    const models = new Map(offerings.map(toDesiredModel).map(model => [getModelKey(model), model]));
    const sorted = [...models].sort(([a], [b]) => a < b ? -1 : 1).map(([, model]) => model);
    return { models: sorted, role: sorted.length > 0 ? "serving" : "idle" };
};

/** Returns the desired state of each engine of a document, by engine name. */
export const createDesiredStates = (
    doc: Pick<OperatorsDocument, "targets" | "offerings">,
): ReadonlyMap<string, DesiredState> => {
    const models = doc.offerings.filter(offering => offering.kind === "model");
    const engines = doc.targets.filter(target => target.kind === "engine");
    return new Map(engines.map(({ name }) => [
        name,
        createDesiredState(models.filter(offering => offering.targets.includes(name))),
    ]));
};

/** Returns a key by which states are compared. */
export const getStateKey = (state: DesiredState): string =>
    JSON.stringify([state.role, state.models.map(getModelKey).sort()]);

/** Counts the models of `state` that are missing in `before`. */
export const countNewModels = (state: DesiredState, before: DesiredState | undefined): number => {
    const known = new Set(before?.models.map(getModelKey));
    return state.models.filter(model => !known.has(getModelKey(model))).length;
};
