/** Logs an event that concerns ownership or bounds. */
export type BudgetLog = (event: string, fields: Readonly<Record<string, string | number | boolean>>) => void;
