/** Version of the program, equal to the version in package.json. */
export const VERSION = "0.1.0";
