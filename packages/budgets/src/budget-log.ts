/** Takes lines about changes of ownership and bounds. */
export type BudgetLog = (event: string, fields: Readonly<Record<string, string | number | boolean>>) => void;
