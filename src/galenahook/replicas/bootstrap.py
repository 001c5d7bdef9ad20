"""One-time bootstrap of a cluster from empty data folders.

A cluster is bootstrapped only if every configured replica reports that its
folder is empty, and a majority that it may bootstrap one: those have had an
empty folder since the site first started, so no cluster of these replicas has
ever had a quorum. The first of them by name bootstraps the cluster. The others
were restarted during the first start, or lost their disks.

A single folder that belongs to a cluster, or a single replica that does not
respond, prevents it. So a replica that lost its disk never bootstraps a second
cluster next to the first: it waits until it is admitted as a learner.

The first entry of the log records the initial membership: the members with
the identifiers of their folders.
"""

import contextlib

import curio

from galenahook import clock as clock_lib
from galenahook import commands
from galenahook import errors
from galenahook import messages
from galenahook import web
from galenahook.replicas import core as core_lib
from galenahook.replicas import identity as identity_lib
from galenahook.replicas import membership
from galenahook.replicas import records
from galenahook.replicas import transport
from galenahook.replicas import wire

_RETRY_PERIOD_MS = 100
_REQUEST_TIMEOUT_MS = 500
FIRST_TERM = 1


async def run(core: core_lib.Core) -> None:
    """Bootstraps the cluster if it is the first that may and others agree."""
    while not core.cluster and core.error is None:
        settings = core.settings
        if settings.may_found and core.name in settings.replicas:
            with contextlib.suppress(errors.ExchangeError, errors.StorageError):
                await _try_bootstrap(core)
        await curio.sleep(clock_lib.seconds(_RETRY_PERIOD_MS))


async def _try_bootstrap(core: core_lib.Core) -> None:
    by_name = {}
    founders = []
    for name, address in sorted(core.settings.replicas.items()):
        folder, may_found = core.folder_id, True
        if name != core.name:
            status = await _fetch_empty_status(core, address)
            folder, may_found = status.folder, status.may_found
        by_name[name] = membership.Member(name, address, folder)
        if may_found:
            founders.append(name)
    members = membership.Members(1, by_name)
    if founders[0] != core.name or len(founders) < members.quorum():
        return
    texts = members.command().members
    cluster = identity_lib.new_identifier()
    await _join_new_cluster(core, cluster, texts)
    if core.cluster != cluster:
        return
    for member in members.voters:
        if member.name != core.name:
            await _invite(core, member, texts)


async def _fetch_empty_status(
    core: core_lib.Core, address: str
) -> wire.ReplicaStatus:
    """Returns the status of a replica whose folder is empty.

    Raises:
      errors.ExchangeError: The replica did not reply, is in a cluster or has
        failed.
    """
    request = web.Request(
        "GET", transport.STATUS_TARGET, list(core.client.headers)
    )
    status = await transport.call(
        core.client, address, request, wire.ReplicaStatus, _REQUEST_TIMEOUT_MS
    )
    if status.cluster or status.error:
        raise errors.ExchangeError(
            f"{status.name} is in a cluster or has failed", True
        )
    return status


async def _invite(
    core: core_lib.Core, member: membership.Member, texts: tuple[str, ...]
) -> None:
    request = wire.BootstrapRequest(
        cluster=core.cluster, to_folder=member.folder, members=texts
    )
    await transport.call(
        core.client,
        member.address,
        transport.post(core.client, transport.BOOTSTRAP_TARGET, request),
        wire.BootstrapReply,
        _REQUEST_TIMEOUT_MS,
    )


async def handle_bootstrap(
    core: core_lib.Core, request: wire.BootstrapRequest
) -> wire.BootstrapReply:
    """Joins a new cluster if this replica's folder is empty.

    Raises:
      errors.StorageError: The folder failed.
    """
    await _join_new_cluster(core, request.cluster, request.members)
    return wire.BootstrapReply(accepted=core.cluster == request.cluster)


async def _join_new_cluster(
    core: core_lib.Core, cluster: str, members: tuple[str, ...]
) -> None:
    """Binds an empty folder to a cluster whose log starts with these members.

    Does nothing if the settings forbid it, since the folder may be empty
    because of a lost disk.

    Raises:
      errors.StorageError: The folder failed.
    """
    async with core.join_lock:
        if core.cluster or not core.settings.may_found:
            return
        command = commands.ChangeMembers(members=members)
        data = messages.encode(command)
        # An earlier attempt may have left an entry that was never synced.
        await core.replace_from(1, [records.Entry(FIRST_TERM, data)])
        await core.log.wait_synced(1, None)
        if core.log.error is not None:
            raise core.log.error
        core.term = max(core.term, FIRST_TERM)
        await _bind_folder(core, cluster)


async def join_existing_cluster(core: core_lib.Core, cluster: str) -> None:
    """Binds an empty folder to a cluster that has admitted it.

    Raises:
      errors.StorageError: The folder failed.
    """
    async with core.join_lock:
        if not core.cluster:
            core.members_history = [membership.Members()]
            await core.log.create()
            await _bind_folder(core, cluster)


async def _bind_folder(core: core_lib.Core, cluster: str) -> None:
    await core.save_ballot()
    try:
        async with curio.disable_cancellation():
            await curio.run_in_thread(core.folder.join, cluster)
    except OSError as error:
        core.refused.record_refusal("identity", error)
        raise errors.StorageError(f"identity: {error}") from error
    core.refused.record_success("identity")
    await core.role_changed.notify()
