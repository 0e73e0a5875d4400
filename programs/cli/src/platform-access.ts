import type { EditRecord } from "@almondusher/fleet/edit";
import { FleetError } from "@almondusher/fleet/fleet-error";
import { emptyFleetState, type FleetState } from "@almondusher/fleet/fleet-state";
import { closePlatform, createPlatform, type Platform } from "@almondusher/platform/create-platform";
import { readHistory } from "@almondusher/platform/read-history";
import { readHead, readState } from "@almondusher/platform/read-state";
import type { CliSettings } from "./cli-settings.js";

/** Calls the function with a platform client that is closed afterwards. */
export const withPlatform = async <Result>(
    { platform: settings, settingsFile }: CliSettings,
    use: (platform: Platform) => Promise<Result>,
): Promise<Result> => {
    const platform = createPlatform({ settings, settingsFile });
    try {
        return await use(platform);
    } finally {
        await closePlatform(platform);
    }
};

/** Reads the state at a revision, by default the latest; throws `not-found` if there is no such revision. */
export const readStateAt = async (platform: Platform, revision: number | undefined): Promise<FleetState> => {
    const head = await readHead(platform);
    const latest = head?.revision ?? 0;
    if (revision !== undefined && (revision < 0 || revision > latest)) {
        throw new FleetError("not-found", {
            message: `there is no revision ${revision}; the latest is ${latest}`,
            hint: "almondusher history lists the revisions",
        });
    }
    if (head === undefined || revision === 0) {
        return emptyFleetState;
    }
    if (revision === undefined || revision === latest) {
        return readState(platform, head);
    }
    const [record] = await readHistory(platform, { fromRevision: revision, toRevision: revision });
    return record === undefined ? emptyFleetState : readState(platform, record);
};

/** Reads the last `count` edits up to a revision, oldest first. */
export const readLastEdits = async (
    platform: Platform,
    { toRevision, count }: { toRevision: number; count: number },
): Promise<readonly EditRecord[]> =>
    toRevision < 1 ? [] : readHistory(platform, { fromRevision: Math.max(1, toRevision - count + 1), toRevision });
