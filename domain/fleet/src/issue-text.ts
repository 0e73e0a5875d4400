import type { z } from "zod";

/** Formats each issue of a schema validation as one line: the path of the value and what is wrong with it. */
export const describeIssues = (error: z.ZodError): readonly string[] =>
    error.issues.map(issue => `${issue.path.map(String).join(".") || "(top level)"}: ${issue.message}`);
