"""Composition root of the gateway: create its parts and connect them."""

from typing import Any

from pimentoquay.gateway.allowance_wiring import compose_allowances
from pimentoquay.gateway.dispatcher import Dispatcher
from pimentoquay.gateway.engine_contact import EngineContact
from pimentoquay.gateway.feed import StoreFeed
from pimentoquay.gateway.fleet import Fleet
from pimentoquay.gateway.lifecycle import Gateway
from pimentoquay.gateway.links import EngineLinks
from pimentoquay.gateway.load_metrics import (
    ALLOWANCES_UNDECIDED,
    CONNECTIONS_ENDED,
    REFUSED_OVER_ALLOWANCE,
    REQUESTS_UNANSWERED,
    STREAMS_PLACED,
    STREAMS_REFUSED,
    WORKSPACES_COUNTED,
)
from pimentoquay.gateway.mesh import Mesh
from pimentoquay.gateway.message_parts import pieces_of
from pimentoquay.gateway.metrics import (
    CONNECT_FAILURES,
    CONNECTIONS,
    CONTINUED,
    ENGINE_CRASHES,
    ENGINE_REQUESTS,
    ENGINES_CUT,
    ENGINES_LEAVING,
    ENGINES_LIMITED,
    ENGINES_UNREACHABLE,
    IN_PROGRESS,
    INPUTS_REFUSED,
    LIST_AGE,
    MESSAGES_REFUSED,
    OVERSIZED,
    PAUSES,
    PEERS,
    PROMPT_TRIALS,
    PROMPTS_QUARANTINED,
    PROMPTS_SUSPECTED,
    PROMPTS_WASTED,
    REFUSED_IN_QUARANTINE,
    REFUSED_IN_STOP,
    REFUSED_OVER_LIMIT,
    RESUMPTIONS,
    RESUMPTIONS_REFUSED,
    SENDS_WITHHELD,
    SERVICES_MIXED,
    STORE_CALLS,
    STORE_ERA,
    STREAM_ORIGINS,
    TUNNELS_CARRIED,
    TUNNELS_GRANTED,
    TUNNELS_OPENED,
    TUNNELS_REFUSED,
    VERSION,
    WAITING,
    GatewayMetrics,
)
from pimentoquay.gateway.notices import LeavingNotices, LimitNotices
from pimentoquay.gateway.origin_store import OriginStore
from pimentoquay.gateway.path_watch import PathWatch
from pimentoquay.gateway.peer_loads import PeerLoadTable
from pimentoquay.gateway.plain import PlainForwarder
from pimentoquay.gateway.plain_streams import PlainStreamForwarder
from pimentoquay.gateway.planned_stop import PlannedStop
from pimentoquay.gateway.pool_client import PoolClient
from pimentoquay.gateway.pool_coordinator import PoolCoordinator
from pimentoquay.gateway.prefill_speeds import PrefillSpeeds
from pimentoquay.gateway.prefills import PrefillRunner
from pimentoquay.gateway.process_room import ProcessRoom, own_port_server
from pimentoquay.gateway.request_guard import RequestGuard
from pimentoquay.gateway.reservations import Reservations
from pimentoquay.gateway.shared_state import RetryBudgets, SharedState
from pimentoquay.gateway.stage_controller import StageController
from pimentoquay.gateway.step_watch import StepWatch
from pimentoquay.gateway.stream_origins import OriginExchange
from pimentoquay.gateway.streams import StreamForwarder
from pimentoquay.gateway.vm_registry import VmRegistry
from pimentoquay.gateway.wiring import (
    apply_mesh_state,
    apply_plan,
    idle_limits,
    patience,
    readiness_handler,
    routed_handler,
    server_limits,
    tokens_of_engine,
)
from pimentoquay.http1 import (
    Connect,
    HttpServer,
    connect_tcp,
)
from pimentoquay.kernel import Node
from pimentoquay.kernel.input_checks import refused_by_kind
from pimentoquay.kernel.traffic import refused_messages
from pimentoquay.kernel.turns import TurnQueue
from pimentoquay.messages.fleet import (
    CrashEvidence,
    EnginesLeaving,
    LimitsNamed,
    TrialBegun,
)
from pimentoquay.messages.pools import PoolKey
from pimentoquay.messages.streams import StreamsBegun, VersionsListed
from pimentoquay.platform.settings import DeploymentSettings
from pimentoquay.platform.store import StoreClient
from pimentoquay.policy.engine_limits import EngineLimits
from pimentoquay.policy.engine_preference import Placer
from pimentoquay.policy.poll_timing import poll_timing
from pimentoquay.policy.repeat_allowance import RepeatLimits
from pimentoquay.policy.run_ledger import RunLedger
from pimentoquay.policy.stage_plan import StageDemand
from pimentoquay.policy.store_position import StoreEra
from pimentoquay.policy.token_ledger import TokenLedger
from pimentoquay.policy.tunnel_peers import TunnelPeers
from pimentoquay.policy.turn_order import LeastServedFirst
from pimentoquay.transport.peers import PeerSet
from pimentoquay.tunnels import (
    EnginePaths,
    PeerTunnels,
    TunnelOpener,
    TunnelPolicy,
    TunnelServer,
)

__all__ = ["compose_gateway"]


def compose_gateway(
    settings: DeploymentSettings,
    node: Node,
    metrics_port: int | None = None,
    connect: Connect = connect_tcp,
    turns: TurnQueue | None = None,
) -> Gateway:
    """Create a gateway.

    Parameters
    ----------
    settings, node
        Settings of the deployment, and the process.
    metrics_port
        Port at which metrics are served, or None for no metrics.
    connect
        Opens connections to engines.
    turns
        The queue of turns that the transport of the node uses; a new one if omitted.
    """
    if turns is None:
        turns = TurnQueue(LeastServedFirst(node.timers.now))
    bounds = settings.bounds
    polling_schedule = poll_timing(bounds.drain_seconds, bounds.config_seconds, settings.vm)
    fleet = Fleet(node.timers.now, node.clock.wall, polling_schedule.longest_age)
    limits = EngineLimits(settings.vm)
    contact = EngineContact(node.timers)
    tunnels = PeerTunnels(
        node.timers,
        TunnelOpener(node.identity, settings.shared_key, turns),
        TunnelPeers(settings.vm, settings.data_centre),
        lambda: mesh.tunnel_places(),
    )
    paths = EnginePaths(node.timers, connect, tunnels, lambda: fleet.target_by_id)
    tunnel_policy = TunnelPolicy(
        paths.find_outcome, paths.refusal_outcome, paths.referrals, paths.record_silent
    )
    process = ProcessRoom(settings)
    tunnel_server = TunnelServer(
        node.identity, settings.shared_key, connect, tunnel_policy, process.tunnels
    )
    links = EngineLinks(fleet, limits, contact, paths, turns)
    run_ledger = RunLedger()
    repeat_limits = RepeatLimits(
        bounds.repeat_ratio, bounds.repeat_slack, bounds.repeat_window_seconds
    )
    prefill_ledger = TokenLedger()
    metrics = GatewayMetrics()
    guard = RequestGuard(
        node.timers.now,
        lambda: mesh.addresses.turn_order,
        lambda message: mesh.notices.publish(message),
    )
    origins = OriginExchange(node.timers, fleet, lambda message: mesh.notices.publish(message))
    shared = SharedState(
        Placer(settings.vm, settings.data_centre),
        run_ledger,
        prefill_ledger,
        StageDemand(),
        fleet,
        links,
        metrics,
        RetryBudgets(repeat_limits),
        guard,
        origins,
    )
    peers = PeerSet(node, turns, pieces_of)
    era = StoreEra()

    def send_to(vm: str, message: Any) -> None:
        mesh.relays.send_to(vm, message)

    def schedule_update() -> None:
        mesh.schedule_load_update()
        pool_client.schedule_report()

    def usable(service: str) -> int:
        return tokens_of_engine(fleet, service)

    def pool_coordinator_of(key: PoolKey) -> str | None:
        return mesh.coordinator_of(key)

    pool_client = PoolClient(node, shared, pool_coordinator_of, send_to)
    reservations = Reservations(
        shared,
        lambda: loads.queued,
        lambda: mesh.has_incomplete_view,
        schedule_update,
        shared.demand.record_decode,
        pool_client,
    )
    loads = PeerLoadTable(
        node.timers,
        fleet,
        run_ledger,
        prefill_ledger,
        shared.demand,
        lambda: reservations.queued,
    )
    step = StepWatch(node.timers, fleet, polling_schedule.stale_age)
    mesh = Mesh(node, peers, fleet, loads, settings.control_address, era, step)
    mesh.on_plan_changed.append(lambda: step.update_plan(mesh.plan))
    coordinator = PoolCoordinator(
        node, shared, usable, pool_coordinator_of, send_to, mesh.broadcast_summary
    )
    mesh.on_pool_summary.append(pool_client.receive_summary)
    speeds = PrefillSpeeds(
        node, shared, pool_coordinator_of, lambda: loads.load_by_vm, send_to, coordinator
    )
    granting, allowances = compose_allowances(node, bounds, fleet, mesh, peers, send_to)
    registry = VmRegistry(node, fleet, mesh, peers, era, lambda: feed)
    mesh.relays.receive_routed = routed_handler(
        pool_client, coordinator, speeds, granting, allowances, registry
    )
    mesh.on_plan_changed.append(lambda: apply_plan(shared, mesh, pool_client, coordinator))
    leaving = LeavingNotices(fleet.notices, node.timers.now, mesh.notices.publish)
    mesh.notices.register(EnginesLeaving, leaving.handler)
    mesh.notices.register(CrashEvidence, guard.handler)
    mesh.notices.register(TrialBegun, guard.trial_handler)
    mesh.notices.register(StreamsBegun, origins.handler)
    mesh.notices.register(VersionsListed, origins.versions_handler)
    links.on_leaving.append(leaving.report)
    limit_notices = LimitNotices(limits, node.timers.now, mesh.notices.publish)
    mesh.notices.register(LimitsNamed, limit_notices.handler)
    links.on_limit.append(limit_notices.report)
    mesh.on_load_changed.append(reservations.recheck_waiters)
    mesh.on_load_changed.append(lambda: apply_mesh_state(shared, mesh))
    store = StoreClient(settings.store_address, era, turns)
    feed = StoreFeed(
        store,
        fleet,
        guard,
        node.timers,
        polling_schedule,
        mesh.is_reader,
        mesh.publish,
        mesh.send_list_age,
        turns,
    )
    origin_store = OriginStore(
        settings.vm, store, node.timers, origins, mesh.is_reader, feed.read_engines, turns
    )
    origins.find_doubt, origins.lost_peer_at = step.find_doubt, step.lost_peer_at
    origins.read_store = origin_store.read_now
    origins.unreachable = contact.unreachable_since_by_id
    stage_controller = StageController(
        settings.vm,
        shared,
        store,
        node.timers,
        bounds.lease_seconds,
        mesh.may_order,
        mesh.publish,
        lambda engines, now: (
            pool_client.expected_tokens
            if pool_client.is_active
            else run_ledger.expected(engines, now)
        ),
    )
    for changed in (paths.on_cut, paths.on_returned):
        changed.append(lambda engine: mesh.update_own_state(is_cut_off=paths.cut_engines > 0))
        changed.append(shared.forget_experience)
    mesh.on_stage_ordered.append(stage_controller.record_order)
    prefills = PrefillRunner(shared, schedule_update, speeds)
    streams = StreamForwarder(shared, reservations, prefills)
    planned_stop = PlannedStop()
    dispatcher = Dispatcher(
        shared,
        PlainForwarder(shared),
        PlainStreamForwarder(shared),
        streams,
        planned_stop,
        allowances,
    )
    caller_server = HttpServer(
        dispatcher.handle,
        lambda: server_limits(fleet),
        turns,
        patience,
        process.callers,
        dispatcher.refuse_head,
        idle_limits(fleet, bounds, node.timers.now).held,
    )
    readiness_server = own_port_server(readiness_handler(dispatcher), turns)
    metrics.value_by_gauge = {
        IN_PROGRESS: lambda: caller_server.requests_in_progress,
        LIST_AGE: lambda: min(fleet.list_age, 1e6),
        VERSION: lambda: fleet.configuration.version if fleet.configuration else 0,
        WAITING: lambda: reservations.queued.tokens,
        STORE_CALLS: lambda: store.calls,
        STORE_ERA: lambda: era.value,
        CONNECTIONS: lambda: links.opened_connections,
        ENGINES_CUT: lambda: paths.cut_engines,
        TUNNELS_OPENED: lambda: tunnels.opened,
        TUNNELS_CARRIED: lambda: tunnel_server.active,
        TUNNELS_GRANTED: lambda: tunnel_server.opened,
        TUNNELS_REFUSED: lambda: tunnel_server.refused,
        ENGINES_UNREACHABLE: lambda: len(contact.unreachable_since_by_id),
        PEERS: lambda: mesh.gateway_count,
        ENGINES_LEAVING: lambda: len(fleet.notices.leaving),
        PAUSES: lambda: fleet.notices.pauses_requested,
        OVERSIZED: lambda: links.oversized_responses,
        SENDS_WITHHELD: lambda: fleet.notices.sends_withheld,
        ENGINE_CRASHES: lambda: guard.reported_crashes,
        PROMPTS_SUSPECTED: lambda: len(guard.suspected_features),
        PROMPTS_QUARANTINED: lambda: len(guard.quarantines),
        PROMPT_TRIALS: lambda: guard.trials,
        REFUSED_IN_QUARANTINE: lambda: guard.refused,
        ENGINES_LIMITED: lambda: len(limits.limited),
        SERVICES_MIXED: lambda: len(origins.mixed_services),
        STREAM_ORIGINS: lambda: origins.known_streams,
        RESUMPTIONS_REFUSED: lambda: origins.refused,
        REFUSED_OVER_LIMIT: lambda: shared.refused_over_limit,
        REFUSED_IN_STOP: lambda: planned_stop.refused,
        REFUSED_OVER_ALLOWANCE: lambda: allowances.refused,
        ALLOWANCES_UNDECIDED: lambda: allowances.undecided,
        WORKSPACES_COUNTED: lambda: granting.active_workspaces,
        **prefills.gauges(),
    }
    metrics.values_by_counter |= {
        ENGINE_REQUESTS: lambda: contact.requests_by_way,
        RESUMPTIONS: lambda: origins.resumed_by_origin,
        CONTINUED: lambda: reservations.continued_by_outcome,
        STREAMS_PLACED: lambda: reservations.class_counts.placed,
        STREAMS_REFUSED: lambda: reservations.class_counts.refused,
        INPUTS_REFUSED: lambda: refused_by_kind,
        MESSAGES_REFUSED: lambda: refused_messages,
        PROMPTS_WASTED: lambda: shared.prompt_waste.tokens_by_reason,
        CONNECT_FAILURES: lambda: {
            failure.value: count for failure, count in contact.count_by_failure.items()
        },
    }
    metrics.value_by_gauge |= process.value_by_gauge()
    metrics.values_by_counter[CONNECTIONS_ENDED] = lambda: process.callers.ended_by_reason
    metrics.values_by_counter[REQUESTS_UNANSWERED] = (
        lambda: caller_server.unanswered.count_by_reason
    )
    metrics_server = own_port_server(metrics.handle, turns)
    return Gateway(
        settings,
        node,
        store,
        fleet,
        feed,
        mesh,
        registry,
        peers,
        links,
        paths,
        PathWatch(node.timers, links, paths),
        tunnel_server,
        stage_controller,
        pool_client,
        coordinator,
        granting,
        guard,
        origins,
        origin_store,
        dispatcher,
        caller_server,
        readiness_server,
        metrics_server,
        process.watch,
        metrics_port,
    )
