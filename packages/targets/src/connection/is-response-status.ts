const MIN_STATUS = 100;
const MAX_STATUS = 599;

/** Whether a number is the status of a response; the HTTP library accepts others, which servers in trouble send. */
export const isResponseStatus = (status: number): boolean => status >= MIN_STATUS && status <= MAX_STATUS;
