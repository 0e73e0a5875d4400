import { randomUUID } from "node:crypto";
import { toId, type VmId } from "@almondusher/fleet/ids";
import type { Vm } from "@almondusher/fleet/vm";
import type { ListenAddress } from "@almondusher/settings/listen-schema";
import { type Service, type ServiceReply, type ServiceRequest, startService } from "./service.js";
import { changeVm, currentVms, visibleVersion, type VmList } from "./vm-list.js";

const REBOOT_PATH = /^\/vms\/([^/]+)\/reboot$/;
const jsonHeaders = { "content-type": "application/json" };

const readList = (list: VmList, request: ServiceRequest): ServiceReply => {
    const version = visibleVersion(list, performance.now());
    const vms = [...version.vms, ...list.extraRows];
    const etag = `"${version.number}-${list.extraRows.length}"`;
    if (request.headers["if-none-match"] === etag) {
        return { status: 304, headers: { etag } };
    }
    return { status: 200, headers: { ...jsonHeaders, etag }, body: JSON.stringify({ vms }) };
};

/**
 * Reboots a VM: it is `leaving`, then absent from the list, then `live` with a new boot id. Has no effect on a VM that
 * is already `leaving`.
 */
const reboot = (list: VmList, vm: Vm): void => {
    if (vm.state === "leaving") {
        return;
    }
    const phaseMs = list.rebootMs / 2;
    changeVm(list, vm.id, { ...vm, state: "leaving" }, performance.now());
    setTimeout(() => changeVm(list, vm.id, undefined, performance.now()), phaseMs).unref();
    const rebooted: Vm = { ...vm, state: "live", bootId: randomUUID() };
    setTimeout(() => changeVm(list, vm.id, rebooted, performance.now()), phaseMs + list.rebootMs).unref();
};

const answer = (list: VmList, request: ServiceRequest): ServiceReply => {
    if (request.method === "GET" && request.path === "/vms") {
        return readList(list, request);
    }
    const id = request.method === "POST" ? REBOOT_PATH.exec(request.path)?.[1] : undefined;
    const vm = currentVms(list).find(candidate => candidate.id === toId<VmId>(id ?? ""));
    if (vm === undefined) {
        return {
            status: 404,
            headers: jsonHeaders,
            body: JSON.stringify({ message: `no such resource or VM: ${request.path}` }),
        };
    }
    const expected = request.headers["if-match"];
    if (expected !== undefined && expected !== `"${vm.bootId}"`) {
        return {
            status: 412,
            headers: jsonHeaders,
            body: JSON.stringify({ message: `If-Match does not match: the boot id of ${vm.id} is ${vm.bootId}` }),
        };
    }
    reboot(list, vm);
    return { status: 202 };
};

/** Starts the VM list: `GET /vms` with ETag and lag, and `POST /vms/<id>/reboot`. */
export const startVmService = (listen: ListenAddress, list: VmList): Promise<Service> =>
    startService({
        listen,
        operationOf: request => (request.method === "GET" ? "GET vms" : "POST reboot"),
        isWrite: request => request.method === "POST",
        answer: request => answer(list, request),
        busyReply: { status: 503 },
    });
