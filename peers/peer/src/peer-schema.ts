import { FleetError } from "@almondusher/fleet/fleet-error";
import { type DataCentreName, type ProcessId, toId, type VmId } from "@almondusher/fleet/ids";
import type { Member } from "./gen/almondusher/peer/v1/peer_pb.js";
import type { Peer } from "./membership.js";

const ID_PATTERN = /^[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?$/;
const URL_PATTERN = /^https?:\/\/[^\s/]+$/;

const isValidMember = (member: Member): boolean =>
    [member.vmId, member.processId, member.dataCentre].every(id => ID_PATTERN.test(id)) &&
    URL_PATTERN.test(member.peerUrl) &&
    member.revision <= BigInt(Number.MAX_SAFE_INTEGER);

/** Converts a member of a message to a peer; throws `bad-message` if a field is missing or malformed. */
export const readMember = (member: Member | undefined): Peer => {
    if (member === undefined || !isValidMember(member)) {
        throw new FleetError("bad-message", {
            message: "a peer message names no valid member",
            hint: "check that all entries run the same version of almondusher",
        });
    }
    return {
        vmId: toId<VmId>(member.vmId),
        processId: toId<ProcessId>(member.processId),
        peerUrl: member.peerUrl,
        dataCentre: toId<DataCentreName>(member.dataCentre),
        revision: Number(member.revision),
        registered: member.registered,
        vmListAgeMs: member.vmListAgeMs,
    };
};

/** Converts the valid members of a list; invalid ones are ignored. */
export const readMembers = (members: readonly Member[]): readonly Peer[] =>
    members.filter(isValidMember).map(readMember);

/** Converts a peer to the fields of a member message. */
export const memberFields = (peer: Peer) => ({
    vmId: peer.vmId,
    processId: peer.processId,
    peerUrl: peer.peerUrl,
    dataCentre: peer.dataCentre,
    revision: BigInt(peer.revision),
    registered: peer.registered,
    vmListAgeMs: peer.vmListAgeMs,
});
