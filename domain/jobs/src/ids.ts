import type { Brand } from "@almondusher/fleet/ids";

/** Id that a client assigns to a job. */
export type JobId = Brand<"JobId">;
const JOB_ID = /^[0-9a-f]{16}$/;

/** True for text in the format of a job id. */
export const isJobId = (text: string): text is JobId => JOB_ID.test(text);

/** Name of a queue of jobs. */
export type QueueName = Brand<"QueueName">;
/** Name of a tenant, who submits jobs with keys of its own. */
export type TenantName = Brand<"TenantName">;
/** SHA-256 digest of a tenant's key, in hexadecimal; the key itself is neither kept nor logged. */
export type KeyDigest = Brand<"KeyDigest">;
/** Id that an executor registers under; a restarted executor may keep it. */
export type ExecutorId = Brand<"ExecutorId">;
/** One step of one occurrence of a job: `job.occurrence.step`. */
export type StepId = Brand<"StepId">;
/** One task of a step: `job.occurrence.step.index`. */
export type TaskId = Brand<"TaskId">;
