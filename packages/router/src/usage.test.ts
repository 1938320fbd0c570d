import test from "ava";
import { isUsageOnly, parseUsage } from "./usage.js";

test("usage is read from bodies and events that have both counts", t => {
    const text = JSON.stringify({ choices: [], usage: { prompt_tokens: 3, completion_tokens: 4, total_tokens: 7 } });
    t.deepEqual(parseUsage(text), { promptTokens: 3, completionTokens: 4 });
    const without = [
        "",
        "[DONE]",
        "null",
        "3",
        "{}",
        "{\"usage\":null}",
        "{\"usage\":{\"prompt_tokens\":3}}",
        "{\"usage\":{\"prompt_tokens\":-1,\"completion_tokens\":4}}",
        "{\"usage\":{\"prompt_tokens\":1.5,\"completion_tokens\":4}}",
        "{\"usage\":{\"prompt_tokens\":\"3\",\"completion_tokens\":4}}",
        "{\"usage\":{\"prompt_tokens\":1e300,\"completion_tokens\":4}}",
    ];
    without.forEach(json => t.is(parseUsage(json), undefined, json));
});

test("only an event without choices is the usage event", t => {
    t.true(isUsageOnly("{\"choices\":[],\"usage\":{}}"));
    t.false(isUsageOnly("{\"choices\":[{\"index\":0}],\"usage\":{}}"));
    t.false(isUsageOnly("{}"));
});

test("an event that is not JSON is not the usage event", t => {
    ["", "not JSON", "null", "3"].forEach(data => t.false(isUsageOnly(data), data));
});
