import { EditSession } from "./fleet/edit-session.js";
import { OperatorCalls } from "./fleet/operator-calls.js";
import { createInitialValue } from "./form/create-initial-value.js";
import type { FormSchema } from "./form/form-schema.js";
import { ConsolePage } from "./view/console-page.js";
import { findPageElements, type PageElements } from "./view/page-elements.js";
import { createFailure } from "./view/result-view.js";

const signIn = async (elements: PageElements): Promise<void> => {
    const calls = new OperatorCalls("", elements.token.value.trim(), (url, init) => globalThis.fetch(url, init));
    const schema = await calls.getSchema();
    if (schema.kind !== "ok") {
        elements.result.replaceChildren(...createFailure(schema));
        return;
    }
    const session = new EditSession({ calls, emptyDocument: createInitialValue(schema.body as FormSchema) });
    const loaded = await session.load();
    if (loaded.kind !== "ok") {
        elements.result.replaceChildren(...createFailure(loaded));
        return;
    }
    elements.token.value = "";
    elements.result.replaceChildren();
    new ConsolePage(elements, session, schema.body as FormSchema).start();
};

const elements = findPageElements();
elements.signIn.addEventListener("submit", event => {
    event.preventDefault();
    const button = elements.signIn.querySelector("button");
    button?.setAttribute("disabled", "");
    void signIn(elements).finally(() => button?.removeAttribute("disabled"));
});
