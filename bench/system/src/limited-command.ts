/** Resources that a process started by a test may use. */
export interface ProcessLimits {
    /** Maximum number of open descriptors. */
    readonly descriptors: number;
    /** Maximum size of the old generation of the heap, in megabytes. */
    readonly heapMb: number;
}

/** Returns the program and arguments that run Node.js within the limits; without limits if they are undefined. */
export const limitedCommand = (
    args: readonly string[],
    limits: ProcessLimits | undefined,
): { readonly file: string; readonly args: readonly string[] } =>
    limits === undefined
        ? { file: process.execPath, args }
        : {
              file: "/bin/sh",
              // The shell is replaced, so that signals and the process id are those of Node.js.
              args: [
                  "-c",
                  'ulimit -n "$0" && exec "$@"',
                  String(limits.descriptors),
                  process.execPath,
                  `--max-old-space-size=${limits.heapMb}`,
                  ...args,
              ],
          };
