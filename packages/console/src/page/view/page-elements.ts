/** The elements of the page's markup that the code uses. */
export interface PageElements {
    readonly base: HTMLElement;
    readonly signIn: HTMLFormElement;
    readonly token: HTMLInputElement;
    readonly work: HTMLElement;
    readonly form: HTMLFieldSetElement;
    readonly comments: HTMLElement;
    readonly acceptComments: HTMLInputElement;
    readonly author: HTMLInputElement;
    readonly check: HTMLButtonElement;
    readonly apply: HTMLButtonElement;
    readonly repeat: HTMLButtonElement;
    readonly reapply: HTMLButtonElement;
    readonly reload: HTMLButtonElement;
    readonly result: HTMLElement;
}

const find = <T extends HTMLElement>(id: string, type: new() => T): T => {
    const element = document.getElementById(id);
    if (!(element instanceof type)) {
        throw new Error(`the page has no element #${id} of the expected type`);
    }
    return element;
};

/** Finds the elements of the page; throws if one is missing. */
export const findPageElements = (): PageElements => ({
    base: find("base", HTMLElement),
    signIn: find("sign-in", HTMLFormElement),
    token: find("token", HTMLInputElement),
    work: find("work", HTMLElement),
    form: find("form", HTMLFieldSetElement),
    comments: find("comments", HTMLElement),
    acceptComments: find("accept-comments", HTMLInputElement),
    author: find("author", HTMLInputElement),
    check: find("check", HTMLButtonElement),
    apply: find("apply", HTMLButtonElement),
    repeat: find("repeat", HTMLButtonElement),
    reapply: find("reapply", HTMLButtonElement),
    reload: find("reload", HTMLButtonElement),
    result: find("result", HTMLElement),
});
