/** Ends the reading of a body that nobody has read from; a generator gives its source up only once it has begun. */
export const abandonBody = (body: AsyncIterable<Buffer>): void => {
    const chunks = body[Symbol.asyncIterator]();
    chunks.next().then(() => chunks.return?.()).catch(() => undefined);
};
