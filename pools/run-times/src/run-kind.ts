import type { QueueName } from "@almondusher/jobs/ids";
import type { Job, Step } from "@almondusher/jobs/job";
import type { Brand } from "@almondusher/fleet/ids";
import { isDeclared } from "./declared-regression.js";

/** Names a kind of tasks; the key of a wider kind is the beginning of those of its narrower ones. */
export type KindKey = Brand<"KindKey">;

/** What is known of a task before it runs. */
export interface RunKind {
    readonly queue: QueueName;
    /** 0 or garbage if none was declared. */
    readonly declaredMs: number;
    /** From the widest kind to the narrowest one. */
    readonly keys: readonly KindKey[];
}

/** The kind of the tasks of a step. */
export const kindOf = (
    { queue, tenant }: Pick<Job, "queue" | "tenant">,
    { estimateMs, demand, image }: Pick<Step, "estimateMs" | "demand" | "image">,
): RunKind => {
    const parts = [named(queue), named(image), sizeClass(estimateMs, demand.cpu), named(tenant)];
    return {
        queue,
        declaredMs: estimateMs,
        // A step without an image or a job without a tenant has no kind of its own there.
        keys: parts
            .map((part, index) => ({ part, key: parts.slice(0, index + 1).join("/") as KindKey }))
            .filter(({ part }) => part !== "")
            .map(({ key }) => key),
    };
};

/** Number of parts of a key, 1 for a queue. */
export const depthOf = (key: KindKey): number => key.split("/").length;

/** Encodes a name without any of the characters that separate names. */
export const encodeName = (name: string): string => encodeURIComponent(name.replace(/[\ud800-\udfff]/gu, "?"));

const named = (name: string | undefined): string => (name === undefined ? "" : encodeName(name));

// Declared times within a factor of two share a class. Without one, the demanded CPU says something of the size.
const sizeClass = (declaredMs: number, cpu: number): string =>
    isDeclared(declaredMs)
        ? `t${Math.floor(Math.log2(declaredMs))}`
        : `c${Math.floor(Math.log2(Math.max(1, cpu || 1)))}`;
