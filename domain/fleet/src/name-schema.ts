import { z } from "zod";
import { type Brand, toId } from "./ids.js";

const NAME_MAX_CHARACTERS = 63;
const NAME_PATTERN = /^[a-z0-9]([a-z0-9.-]*[a-z0-9])?$/;

/** Schema of a name: lower case letters, digits, dots and hyphens, at most 63 characters. */
export const nameSchema = <Id extends Brand<string>>() =>
    z
        .string()
        .max(NAME_MAX_CHARACTERS, `must have at most ${NAME_MAX_CHARACTERS} characters`)
        .regex(NAME_PATTERN, "must consist of lower case letters, digits, dots and hyphens")
        .transform(text => toId<Id>(text));
