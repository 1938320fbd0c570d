const ID_BYTES = 16;

/** Creates a random edit id; `randomUUID` is missing if the page was loaded over plain HTTP from another machine. */
export const createEditId = (): string => {
    const bytes = globalThis.crypto.getRandomValues(new Uint8Array(ID_BYTES));
    return `console-${[...bytes].map(byte => byte.toString(16).padStart(2, "0")).join("")}`;
};
