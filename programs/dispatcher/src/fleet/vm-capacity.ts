import type { DispatcherSettings } from "../process/dispatcher-settings.js";

/** Capacity of an entry VM, as far as the work under a lease needs it. */
export interface VmCapacity {
    /** Processor time per second of wall time, in seconds on a core of speed 1. */
    readonly processorCores: number;
    readonly linkMbps: number;
}

/** Returns the capacity of the VM that the settings describe. */
export const vmCapacity = ({
    processorShare,
    processorSpeed,
    linkMbps,
}: Pick<DispatcherSettings, "processorShare" | "processorSpeed" | "linkMbps">): VmCapacity => ({
    processorCores: processorShare * processorSpeed,
    linkMbps,
});

/** Returns the capacity as a fraction of the largest one, by the scarcest resource. */
export const relativeCapacity = (capacity: VmCapacity, all: readonly VmCapacity[]): number =>
    Math.min(
        capacity.processorCores / Math.max(...all.map(({ processorCores }) => processorCores)),
        capacity.linkMbps / Math.max(...all.map(({ linkMbps }) => linkMbps)),
    );
