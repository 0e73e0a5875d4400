/** Error that the table service returns to the client. */
export class ServiceFailure extends Error {
    /** Name of the DynamoDB exception. */
    readonly type: string;
    /** Additional fields of the error body. */
    readonly fields: Readonly<Record<string, unknown>>;

    constructor(type: string, message: string, fields: Readonly<Record<string, unknown>> = {}) {
        super(message);
        this.type = type;
        this.fields = fields;
    }
}

/** Creates the error for a request that is invalid or that the stand-in does not support. */
export const validationFailure = (message: string): ServiceFailure =>
    new ServiceFailure("ValidationException", message);
