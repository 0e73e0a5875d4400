import type { Vm } from "@almondusher/fleet/vm";
import type { Platform } from "@almondusher/platform/create-platform";
import { readVms } from "@almondusher/platform/vm-list";

/** Reads the platform's VM list; throws `platform-unavailable`. */
const readVmList = async (platform: Platform): Promise<readonly Vm[]> => {
    const listing = await readVms(platform, { etag: undefined });
    switch (listing.kind) {
        case "list":
            return listing.vms;
        case "unchanged":
            return [];
    }
};

/**
 * Reads the platform's VM list; on failure warns and returns an empty list, since the commands use it only for the
 * locations and addresses of VMs.
 */
export const readVmListOrWarn = async (platform: Platform, warn: (text: string) => void): Promise<readonly Vm[]> => {
    try {
        return await readVmList(platform);
    } catch (error) {
        warn(`the VM list could not be read: ${error instanceof Error ? error.message : String(error)}`);
        return [];
    }
};
