import type { ListenAddress } from "@almondusher/settings/listen-schema";
import { type Service, type ServiceReply, type ServiceRequest, startService } from "./service.js";

const xml = (code: string): string => `<?xml version="1.0" encoding="UTF-8"?><Error><Code>${code}</Code></Error>`;

const failure = (status: number, code: string): ServiceReply => ({
    status,
    headers: { "content-type": "application/xml" },
    body: xml(code),
});

const answer = (objects: Map<string, string>, request: ServiceRequest): ServiceReply => {
    const path = request.path.replace(/\?.*$/, "");
    switch (request.method) {
        case "PUT":
            objects.set(path, request.body);
            return { status: 200 };
        case "GET": {
            const body = objects.get(path);
            return body === undefined ? failure(404, "NoSuchKey") : { status: 200, body };
        }
        default:
            return failure(405, "MethodNotAllowed");
    }
};

/** Starts the object store, which supports PutObject and GetObject of the S3 protocol with path-style URLs. */
export const startObjectService = (listen: ListenAddress): Promise<Service> => {
    const objects = new Map<string, string>();
    return startService({
        listen,
        operationOf: request => `${request.method} object`,
        isWrite: request => request.method === "PUT",
        answer: request => answer(objects, request),
        busyReply: failure(503, "SlowDown"),
    });
};
