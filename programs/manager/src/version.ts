/** Version of the program, as its package.json has it. */
export const VERSION = "0.1.0";
