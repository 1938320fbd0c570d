import test from "ava";
import { createDocument, createOffering, createTarget } from "../fixtures/create-document.js";
import { countNewModels, createDesiredStates, getStateKey } from "./desired-state.js";

test("an engine's state has each model of its offerings once, in any order of the document", t => {
    const targets = [createTarget("ahd-1"), createTarget("vad-1"), createTarget("desk", { kind: "service" })];
    const offerings = [
        createOffering("draft", ["ahd-1"], { model: "m", version: "1" }),
        createOffering("draft-fast", ["ahd-1"], { model: "m", version: "1", priority: 0 }),
        createOffering("summary", ["ahd-1"], { model: "m", version: "1", adapter: "theses" }),
    ];
    const states = createDesiredStates(createDocument(targets, offerings));
    const reversed = createDesiredStates(createDocument(targets, [...offerings].reverse()));
    const state = states.get("ahd-1");
    t.is(state?.models.length, 2);
    t.deepEqual(state, reversed.get("ahd-1"));
    t.deepEqual(states.get("vad-1"), { models: [], role: "idle" });
    t.false(states.has("desk"));
});

test("new models are those that the engine has not loaded", t => {
    const state = { models: [{ model: "m" }, { model: "m", version: "2" }], role: "serving" as const };
    t.is(countNewModels(state, undefined), 2);
    t.is(countNewModels(state, { models: [{ model: "m" }], role: "serving" }), 1);
    t.not(getStateKey(state), getStateKey({ ...state, role: "idle" }));
});
