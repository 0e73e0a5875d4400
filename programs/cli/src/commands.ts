import { ApplyCommand } from "./commands/apply.js";
import { DiffCommand } from "./commands/diff.js";
import { DumpCommand } from "./commands/dump.js";
import { ExplainCommand } from "./commands/explain.js";
import { HistoryCommand } from "./commands/history.js";
import { JobCancelCommand } from "./commands/job-cancel.js";
import { JobExplainCommand } from "./commands/job-explain.js";
import { JobListCommand } from "./commands/job-list.js";
import { JobShowCommand } from "./commands/job-show.js";
import { JobSubmitCommand } from "./commands/job-submit.js";
import { ShowCommand } from "./commands/show.js";
import { StatusCommand } from "./commands/status.js";
import { ValidateCommand } from "./commands/validate.js";

/** The commands of the binary by name, loaded by oclif. @public */
export const commands = {
    apply: ApplyCommand,
    diff: DiffCommand,
    dump: DumpCommand,
    explain: ExplainCommand,
    history: HistoryCommand,
    "job:cancel": JobCancelCommand,
    "job:explain": JobExplainCommand,
    "job:list": JobListCommand,
    "job:show": JobShowCommand,
    "job:submit": JobSubmitCommand,
    show: ShowCommand,
    status: StatusCommand,
    validate: ValidateCommand,
};
