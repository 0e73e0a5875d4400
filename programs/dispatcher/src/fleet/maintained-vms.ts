import type { Wave } from "@almondusher/upkeep/maintenance";
import type { WaveMaintenance } from "../leases/lease-rows.js";
import { isInRanges, type NumberRanges } from "@almondusher/fleet/number-ranges";

/** What a fleet manager knows of the maintained VMs of waves. */
export interface KnownMaintenance {
    /** As stored by the previous fleet manager. */
    readonly inherited: readonly WaveMaintenance[];
    /** Waves that this fleet manager has opened. */
    readonly waves: readonly Pick<Wave, "number" | "confirmed">[];
    /** Waves whose completion is stored for the operator. */
    readonly completed: NumberRanges;
    /** True once all waves that were requested before the takeover are open or known to be completed. */
    readonly areWavesRead: boolean;
}

// Earlier versions do not read which waves are completed. They evacuate the VMs of a completed wave again unless they find
// them here.
const MAX_VMS_OF_COMPLETED_WAVES = 500;

/** Returns the maintained VMs to store in the fleet's lease: of all open waves, and of the latest completed ones. */
export const maintainedVmsToStore = ({
    inherited,
    waves,
    completed,
    areWavesRead,
}: KnownMaintenance): readonly WaveMaintenance[] => {
    const isCompleted = ({ wave }: WaveMaintenance): boolean => isInRanges(completed, wave);
    const own = waves.map(({ number, confirmed }) => ({ wave: number, vms: [...confirmed] }));
    const numbers = new Set(own.map(({ wave }) => wave));
    const others = inherited.filter(({ wave }) => !numbers.has(wave));
    // An entry that is left out before its request was read would be missing after the next takeover.
    const open = [...own, ...others.filter(() => !areWavesRead)].filter(entry => !isCompleted(entry));
    return [...open, ...latestEntries([...own, ...others].filter(isCompleted))];
};

const latestEntries = (entries: readonly WaveMaintenance[]): readonly WaveMaintenance[] => {
    const latestFirst: readonly WaveMaintenance[] = [...entries].sort((left, right) => right.wave - left.wave);
    let vmCount = 0;
    return latestFirst.filter(({ vms }) => {
        vmCount += vms.length;
        return vmCount <= MAX_VMS_OF_COMPLETED_WAVES;
    });
};
