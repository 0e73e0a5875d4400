import type { Vm } from "@almondusher/fleet/vm";
import type { Platform } from "@almondusher/platform/create-platform";
import { readVms } from "@almondusher/platform/vm-list";

/** The platform's list of VMs; throws `platform-unavailable`. */
const readVmList = async (platform: Platform): Promise<readonly Vm[]> => {
    const listing = await readVms(platform, { etag: undefined });
    switch (listing.kind) {
        case "list":
            return listing.vms;
        case "unchanged":
            return [];
    }
};

/** The same, with a warning instead of an error: the list only adds places and addresses. */
export const readVmListOrWarn = async (platform: Platform, warn: (text: string) => void): Promise<readonly Vm[]> => {
    try {
        return await readVmList(platform);
    } catch (error) {
        warn(`the VM list could not be read: ${error instanceof Error ? error.message : String(error)}`);
        return [];
    }
};
