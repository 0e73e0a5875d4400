/** Must equal the version in package.json. */
export const VERSION = "0.1.0";
