import type { EditRecord } from "@almondusher/fleet/edit";
import { FleetError } from "@almondusher/fleet/fleet-error";
import { emptyFleetState, type FleetState } from "@almondusher/fleet/fleet-state";
import { closePlatform, createPlatform, type Platform } from "@almondusher/platform/create-platform";
import { readHistory } from "@almondusher/platform/read-history";
import { readHead, readState } from "@almondusher/platform/read-state";
import type { CliSettings } from "./cli-settings.js";

/** Runs a task with a client of the platform and closes it afterwards. */
export const withPlatform = async <Result>(
    { platform: settings, settingsFile }: CliSettings,
    task: (platform: Platform) => Promise<Result>,
): Promise<Result> => {
    const platform = createPlatform({ settings, settingsFile });
    try {
        return await task(platform);
    } finally {
        await closePlatform(platform);
    }
};

/** The latest state, or the state of an older revision; throws `not-found` if there is no such revision. */
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

/** The last edits up to a revision, oldest first. */
export const readLastEdits = async (
    platform: Platform,
    { toRevision, count }: { toRevision: number; count: number },
): Promise<readonly EditRecord[]> =>
    toRevision < 1 ? [] : readHistory(platform, { fromRevision: Math.max(1, toRevision - count + 1), toRevision });
