"""Asks the lead for a report, and describes the lead, for operators' queries."""

from typing import Any

import msgspec

from firhook._peer_messages import WaitingReply, WorkersReply
from firhook.errors import PeerUnreachableError
from firhook.instance import InstanceService
from firhook.services._events import AskInstance, LastLead

#: Time limit for asking the lead.
_ASK_TIMEOUT_S = 2.0


async def describe_lead(service: InstanceService, name: str) -> dict[str, Any]:
    """Return what an instance knows of the lead.

    :param name: the lead that is reachable; the last one that is known if empty.
    """
    last, epoch = await service.bus.ask(LastLead())
    name = name or last
    peer = service.replica.peers.get(name)
    return {
        "name": name,
        "epoch": epoch,
        "zone": peer.zone if peer is not None else "",
        "address": peer.address if peer is not None else "",
    }


async def ask_lead(
    service: InstanceService,
    name: str,
    ask: Any,
    reply_type: type[WaitingReply] | type[WorkersReply],
) -> tuple[dict[str, Any] | None, str]:
    """Return the lead's report, or ``None`` and why there is none.

    :param name: the lead that is reachable; empty if none is.
    """
    if not name:
        return None, "no lead is reachable"
    try:
        reply = await service.bus.ask(AskInstance(name, ask, _ASK_TIMEOUT_S))
    except PeerUnreachableError as exc:
        return None, f"the lead does not answer: {exc.detail}"
    if not isinstance(reply, reply_type) or not reply.report:
        return None, f"{name} does not report as the lead"
    return msgspec.json.decode(reply.report), ""
