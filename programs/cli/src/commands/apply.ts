import { randomUUID } from "node:crypto";
import { userInfo } from "node:os";
import { createInterface } from "node:readline/promises";
import { Args, Flags } from "@oclif/core";
import { applyEdit, type Change, type Edit, editSchema } from "@almondusher/fleet/edit";
import { FleetError, hasCode } from "@almondusher/fleet/fleet-error";
import { describeIssues } from "@almondusher/fleet/issue-text";
import { diffTables, type TableFile } from "@almondusher/fleet/table-file";
import { commitEdit } from "@almondusher/platform/commit-edit";
import type { Platform } from "@almondusher/platform/create-platform";
import { describeChange } from "@almondusher/telemetry/edit-effects";
import { BaseCommand, settingsFlag } from "../base-command.js";
import { loadCliSettings } from "../cli-settings.js";
import { readLastEdits, readStateAt, withPlatform } from "../platform-access.js";
import { readTableFile } from "../read-table-file.js";

// After this many conflicts with concurrent edits the author should check the edit.
const MAX_ATTEMPTS = 5;
// Number of latest edits searched for the id of the edit; covers more than one day at 830 edits per day.
const MAX_EDITS_SEARCHED = 1_000;

interface ApplyResult {
    readonly editId: string;
    /** Revision of the edit; the revision in force if nothing was changed. */
    readonly revision: number;
    readonly outcome: "applied" | "already-applied" | "no-change" | "declined";
    readonly changes: readonly Change[];
}

interface EditFlags {
    readonly "edit-id": string;
    readonly author: string;
    readonly reason: string;
    readonly base: number | undefined;
    readonly yes: boolean;
}

/** Applies the difference between the tables in a file and the base revision as one edit. */
export class ApplyCommand extends BaseCommand {
    static override summary = "Apply the tables in a file as one edit";
    static override description =
        "Writes only the rows that differ from the base, and only if no other edit changed them since. " +
        "After exit code 5 (unknown outcome) repeat the command with the same --edit-id; an edit that took effect is not applied again.";
    static override args = { file: Args.string({ required: true, description: "file with the tables, JSON" }) };
    static override flags = {
        settings: settingsFlag,
        reason: Flags.string({ description: "reason for the edit, shown in the history", required: true }),
        author: Flags.string({
            description: "author of the edit, shown in the history; the current system user if absent",
        }),
        "edit-id": Flags.string({ description: "id of the edit; a random one if absent" }),
        base: Flags.integer({
            description: "revision on which the file is based; the latest if absent",
            min: 0,
        }),
        yes: Flags.boolean({ description: "apply without asking for confirmation", default: false }),
    };

    async run(): Promise<ApplyResult> {
        const { args, flags } = await this.parse(ApplyCommand);
        const tables = readTableFile(args.file);
        const edit: EditFlags = {
            ...flags,
            base: flags.base,
            author: flags.author ?? currentUser(),
            "edit-id": flags["edit-id"] ?? randomUUID(),
        };
        return withPlatform(loadCliSettings(flags.settings), platform => this.applyTables(platform, tables, edit));
    }

    private async applyTables(platform: Platform, tables: TableFile, flags: EditFlags): Promise<ApplyResult> {
        const state = await readStateAt(platform, flags.base);
        const changes = diffTables(state, tables);
        if (changes.length === 0) {
            return this.reportNoChange(platform, state.revision, flags);
        }
        const edit = createEdit(changes, flags);
        // Reports violated rules before the confirmation prompt; the commit detects conflicts with later edits.
        applyEdit(state, edit);
        this.log(`edit ${edit.editId} changes ${changes.length} row(s) of revision ${state.revision}:`);
        changes.flatMap(describeChange).forEach(line => this.log(line));
        if (!flags.yes && !(await confirm())) {
            this.log("nothing was changed");
            return { editId: edit.editId, revision: state.revision, outcome: "declined", changes };
        }
        const { record, alreadyAccepted: repeated } = await commit(platform, edit, flags.base);
        this.log(
            repeated ? `was already applied as revision ${record.revision}` : `applied as revision ${record.revision}`,
        );
        const outcome = repeated ? "already-applied" : "applied";
        return { editId: edit.editId, revision: record.revision, outcome, changes };
    }

    // If the response to an earlier attempt was lost, nothing may differ because that attempt took effect.
    private async reportNoChange(platform: Platform, revision: number, flags: EditFlags): Promise<ApplyResult> {
        const editId = flags["edit-id"];
        const edits = await readLastEdits(platform, { toRevision: revision, count: MAX_EDITS_SEARCHED });
        const appliedEdit = edits.find(edit => edit.editId === editId);
        if (appliedEdit !== undefined) {
            this.log(`was already applied as revision ${appliedEdit.revision}`);
            return { editId, revision: appliedEdit.revision, outcome: "already-applied", changes: appliedEdit.changes };
        }
        this.log(`no row differs from revision ${revision}`);
        return { editId, revision, outcome: "no-change", changes: [] };
    }
}

const currentUser = (): string => {
    try {
        return userInfo().username;
    } catch (error) {
        throw new FleetError("invalid-edit", {
            message: "the name of the current system user cannot be determined",
            hint: "give --author; nothing was changed",
            cause: error,
        });
    }
};

const createEdit = (changes: readonly Change[], flags: EditFlags): Edit => {
    const parsed = editSchema.safeParse({
        editId: flags["edit-id"],
        author: { kind: "operator", name: flags.author },
        at: new Date().toISOString(),
        reason: flags.reason,
        changes,
    });
    if (!parsed.success) {
        throw new FleetError("invalid-edit", {
            message: "the edit is malformed",
            hint: "correct --edit-id, --author or --reason",
            details: describeIssues(parsed.error),
        });
    }
    return parsed.data;
};

const confirm = async (): Promise<boolean> => {
    if (!process.stdin.isTTY) {
        throw new FleetError("invalid-edit", {
            message: "the edit was not confirmed: standard input is not a terminal",
            hint: "give --yes; nothing was changed",
        });
    }
    const terminal = createInterface({ input: process.stdin, output: process.stderr });
    try {
        return /^y(es)?$/i.test((await terminal.question("Apply? [y/N] ")).trim());
    } finally {
        terminal.close();
    }
};

const commit = async (platform: Platform, edit: Edit, base: number | undefined) => {
    try {
        return await commitEdit(platform, { edit, maxAttempts: MAX_ATTEMPTS });
    } catch (error) {
        if (!hasCode(error, "unknown-outcome")) {
            throw error;
        }
        const repeatFlags = `--edit-id ${edit.editId}${base === undefined ? "" : ` --base ${base}`}`;
        throw new FleetError("unknown-outcome", {
            message: error.message,
            hint: `repeat the command with ${repeatFlags}; an edit that took effect is not applied again`,
            details: error.details,
            cause: error,
        });
    }
};
