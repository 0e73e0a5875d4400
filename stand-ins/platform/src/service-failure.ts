/** An error answer of the table service. */
export class ServiceFailure extends Error {
    readonly type: string;
    readonly fields: Readonly<Record<string, unknown>>;

    constructor(type: string, message: string, fields: Readonly<Record<string, unknown>> = {}) {
        super(message);
        this.type = type;
        this.fields = fields;
    }
}

/** The failure of a request that the stand-in does not support or that the table service would refuse. */
export const validationFailure = (message: string): ServiceFailure =>
    new ServiceFailure("ValidationException", message);
