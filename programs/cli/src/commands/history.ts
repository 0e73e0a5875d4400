import { Flags } from "@oclif/core";
import type { EditRecord } from "@almondusher/fleet/edit";
import { FleetError } from "@almondusher/fleet/fleet-error";
import { readHead } from "@almondusher/platform/read-state";
import { readHistory } from "@almondusher/platform/read-history";
import type { Platform } from "@almondusher/platform/create-platform";
import { describeChange } from "@almondusher/telemetry/edit-effects";
import { BaseCommand, settingsFlag } from "../base-command.js";
import { loadCliSettings } from "../cli-settings.js";
import { withPlatform } from "../platform-access.js";

const DEFAULT_EDITS_LISTED = 50;
// Number of latest edits searched with --row; covers more than one day at 830 edits per day. --from selects an older
// range.
const DEFAULT_EDITS_SEARCHED = 1_000;

/** Lists the accepted edits of a range of revisions. */
export class HistoryCommand extends BaseCommand {
    static override summary = "List the edits: who changed what, when and why";
    static override description = `Without --from, lists the last ${DEFAULT_EDITS_LISTED} edits or, with --row, those of the last ${DEFAULT_EDITS_SEARCHED} edits that changed the row.`;
    static override flags = {
        settings: settingsFlag,
        from: Flags.integer({ description: "first revision", min: 1 }),
        to: Flags.integer({ description: "last revision; the latest if absent", min: 1 }),
        row: Flags.string({ description: "only edits of this row: a name, or TABLE/NAME, for example pools/letters" }),
    };

    async run(): Promise<{ edits: readonly EditRecord[] }> {
        const { flags } = await this.parse(HistoryCommand);
        const all = await withPlatform(loadCliSettings(flags.settings), platform => readRange(platform, flags));
        const edits = all.filter(edit => flags.row === undefined || changesRow(edit, flags.row));
        edits.forEach(edit => this.logEdit(edit));
        const [first] = all;
        this.log(
            first === undefined
                ? "no edits in this range"
                : `${edits.length} edit(s) in revisions ${first.revision} to ${all.at(-1)?.revision}`,
        );
        return { edits };
    }

    private logEdit(edit: EditRecord): void {
        this.log(`revision ${edit.revision}  ${edit.at}  ${edit.author.kind} ${edit.author.name}  edit ${edit.editId}`);
        this.log(`    reason: ${edit.reason || "-"}`);
        edit.changes.flatMap(describeChange).forEach(line => this.log(`    ${line}`));
    }
}

interface RangeFlags {
    readonly from?: number | undefined;
    readonly to?: number | undefined;
    readonly row?: string | undefined;
}

const readRange = async (platform: Platform, { from, to, row }: RangeFlags): Promise<readonly EditRecord[]> => {
    const latest = (await readHead(platform))?.revision ?? 0;
    const toRevision = Math.min(to ?? latest, latest);
    const count = row === undefined ? DEFAULT_EDITS_LISTED : DEFAULT_EDITS_SEARCHED;
    const fromRevision = from ?? Math.max(1, toRevision - count + 1);
    if (from !== undefined && from > toRevision) {
        throw new FleetError("not-found", {
            message: `there are no revisions from ${from} to ${to ?? "the latest"}; the latest is ${latest}`,
            hint: "choose a range that starts at or before the latest revision",
        });
    }
    return toRevision < 1 ? [] : readHistory(platform, { fromRevision, toRevision });
};

const changesRow = (edit: EditRecord, row: string): boolean =>
    edit.changes.some(change => row === change.key || row === `${change.table}/${change.key}`);
