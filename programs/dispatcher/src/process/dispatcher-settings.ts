import { z } from "zod";
import { isSocketAddress } from "@almondusher/jobs/socket-address";
import { loadSettings } from "@almondusher/settings/load-settings";

const address = z.string().refine(isSocketAddress, "expected IP:port");

const DEFAULT_JOB_STATE_SECONDS = 3600;
const MAX_JOB_STATE_SECONDS = 604_800;
const MIN_MEMORY_MB = 64;
const MIN_DESCRIPTORS = 256;
// Room for a few of the largest bodies that are usual.
const MIN_HELD_BYTES = 1_048_576;
const MIN_CLIENT_TIMEOUT_MS = 1000;

const schema = z.object({
    /** Name of the VM that this process runs on. */
    vm: z.string().min(1),
    dataCentre: z.string().min(1),
    entryAddress: address,
    readyAddress: address,
    /** Address to serve metrics on; if absent, they are not served. */
    metricsAddress: address.optional(),
    storeAddress: address,
    vmServiceAddress: address,
    /** Whether the VM service rejects orders with a fencing token lower than one it has received for the VM. */
    vmOrderFencing: z.enum(["enforced", "not-enforced"]).transform(kind => ({ kind })),
    /** Address of the advice service; empty if no queue needs advice. */
    adviceAddress: z.string(),
    /** Share of a core that the process gets. */
    processorShare: z.number().positive(),
    /** Speed of the core, as a multiple of that of a core of speed 1. */
    processorSpeed: z.number().positive(),
    /** Bandwidth of the VM's network link, in megabits per second. */
    linkMbps: z.number().positive(),
    stopGraceSeconds: z.number().positive(),
    /** Maximum duration of a run lease that executors grant. */
    maxLeaseMs: z.number().positive(),
    /** Time for which the state of a finished job stays readable; ten minutes at least. */
    jobStateSeconds: z.number().min(1).max(MAX_JOB_STATE_SECONDS).default(DEFAULT_JOB_STATE_SECONDS),
    /** Maximum time that an executor takes to stop a run. */
    stopTimeMs: z.number().positive(),
    disruptionNoticeMs: z.number().positive(),
    latencyHarmMs: z.number().positive(),
    farFactor: z.number().positive(),
    earlyStartMs: z.number().nonnegative(),
    moveSeconds: z.number().positive(),
    maintenanceSeconds: z.number().positive(),
    heartbeatMs: z.number().positive(),
    /** Memory that the process may use, in megabytes; what the operating system has if absent. */
    memoryMb: z.number().min(MIN_MEMORY_MB).optional(),
    /** Descriptors that the process may open; what the operating system allows if absent. */
    maxDescriptors: z.int().min(MIN_DESCRIPTORS).optional(),
    /** Limits on the connections of clients; each that is absent is derived from the memory and the descriptors. */
    clientLimits: z
        .strictObject({
            connections: z.int().min(1).optional(),
            heldBytes: z.int().min(MIN_HELD_BYTES).optional(),
            requestsInWork: z.int().min(1).optional(),
            headTimeoutMs: z.int().min(MIN_CLIENT_TIMEOUT_MS).optional(),
            stallTimeoutMs: z.int().min(MIN_CLIENT_TIMEOUT_MS).optional(),
        })
        .optional(),
});

/** Content of the settings file, after validation. */
export type DispatcherSettings = z.output<typeof schema>;

/** Reads the settings file; throws `invalid-settings` with the file, key and value. */
export const readDispatcherSettings = (file: string): DispatcherSettings => loadSettings({ file, schema });
