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

// An edit that keeps losing the race against others for this long should be looked at by its author.
const MAX_ATTEMPTS = 5;
// A day of 830 edits.
const SEARCHED_EDITS = 1_000;

interface Applied {
    readonly editId: string;
    /** Revision of the edit, or the one in force if nothing had to be changed. */
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

/** Makes the tables in a file the ones in force. */
export class ApplyCommand extends BaseCommand {
    static override summary = "Apply the tables in a file as one edit";
    static override description =
        "Only rows that differ from the base are written, and only if no one changed them since. " +
        "After exit code 5 repeat the command with the same --edit-id: it recognises an edit that took effect.";
    static override args = { file: Args.string({ required: true, description: "file with the tables, JSON" }) };
    static override flags = {
        settings: settingsFlag,
        reason: Flags.string({ description: "why, for the history", required: true }),
        author: Flags.string({ description: "who, for the history; the user of the system if absent" }),
        "edit-id": Flags.string({ description: "id of the edit; a random one if absent" }),
        base: Flags.integer({
            description: "revision that the file was made from; the latest if absent",
            min: 0,
        }),
        yes: Flags.boolean({ description: "do not ask", default: false }),
    };

    async run(): Promise<Applied> {
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

    private async applyTables(platform: Platform, tables: TableFile, flags: EditFlags): Promise<Applied> {
        const state = await readStateAt(platform, flags.base);
        const changes = diffTables(state, tables);
        if (changes.length === 0) {
            return this.reportNoChange(platform, state.revision, flags);
        }
        const edit = createEdit(changes, flags);
        // Finds broken rules before the question is asked; conflicts with later edits are found by the commit.
        applyEdit(state, edit);
        this.log(`edit ${edit.editId} changes ${changes.length} row(s) of revision ${state.revision}:`);
        changes.flatMap(describeChange).forEach(line => this.log(line));
        if (!flags.yes && !(await confirm())) {
            this.log("nothing was changed");
            return { editId: edit.editId, revision: state.revision, outcome: "declined", changes };
        }
        const { record, repeated } = await commit(platform, edit, flags.base);
        this.log(
            repeated ? `was already applied as revision ${record.revision}` : `applied as revision ${record.revision}`,
        );
        const outcome = repeated ? "already-applied" : "applied";
        return { editId: edit.editId, revision: record.revision, outcome, changes };
    }

    // After a lost answer the edit may be the reason why nothing differs any more.
    private async reportNoChange(platform: Platform, revision: number, flags: EditFlags): Promise<Applied> {
        const editId = flags["edit-id"];
        const edits = await readLastEdits(platform, { toRevision: revision, count: SEARCHED_EDITS });
        const own = edits.find(edit => edit.editId === editId);
        if (own !== undefined) {
            this.log(`was already applied as revision ${own.revision}`);
            return { editId, revision: own.revision, outcome: "already-applied", changes: own.changes };
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
            message: "the system has no name for the current user",
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
        const repeat = `--edit-id ${edit.editId}${base === undefined ? "" : ` --base ${base}`}`;
        throw new FleetError("unknown-outcome", {
            message: error.message,
            hint: `repeat the command with ${repeat}; it recognises the edit if it took effect`,
            details: error.details,
            cause: error,
        });
    }
};
