/** Content and attributes of an element; text is set as text, never as markup. */
export interface ElementParts {
    readonly text?: string;
    readonly className?: string;
    readonly children?: readonly Node[];
    readonly attributes?: Readonly<Record<string, string>>;
}

/** Creates an element with its content and attributes. */
export const createElement = <K extends keyof HTMLElementTagNameMap>(
    tag: K,
    { text, className, children, attributes }: ElementParts = {},
): HTMLElementTagNameMap[K] => {
    const element = document.createElement(tag);
    if (text !== undefined) {
        element.textContent = text;
    }
    if (className !== undefined) {
        element.className = className;
    }
    Object.entries(attributes ?? {}).forEach(([name, value]) => element.setAttribute(name, value));
    element.append(...(children ?? []));
    return element;
};

/** Creates a button that does not submit a form. */
export const createButton = (text: string, onClick: () => void): HTMLButtonElement => {
    const button = createElement("button", { text, attributes: { type: "button" } });
    button.addEventListener("click", onClick);
    return button;
};

/** Creates an unordered list with one item per line. */
export const createList = (lines: readonly string[]): HTMLUListElement =>
    createElement("ul", { children: lines.map(text => createElement("li", { text })) });
