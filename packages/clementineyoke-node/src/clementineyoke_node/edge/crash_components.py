"""Creates the parts that keep track of what crashes runners."""

from __future__ import annotations

from typing import TYPE_CHECKING

from clementineyoke_core.edge.answered_factors import AnsweredFactors
from clementineyoke_core.edge.crash_judge import CrashJudge
from clementineyoke_core.edge.crash_records import CrashRecords
from clementineyoke_node.edge.crash_tracker import CrashTracker
from clementineyoke_node.edge.crash_trials import CrashTrials

if TYPE_CHECKING:
    from clementineyoke_node.edge.fault_reports import FaultReports
    from clementineyoke_node.edge.runner_connection_pool import RunnerConnectionPool
    from clementineyoke_node.node_state import NodeState
    from clementineyoke_node.peers.peer_socket import PeerSocket
    from clementineyoke_node.timers.background_tasks import BackgroundTasks
    from clementineyoke_node.timers.timer_service import TimerService


def make_crash_tracker(
    *,
    state: NodeState,
    connection_pool: RunnerConnectionPool,
    fault_reports: FaultReports,
    socket: PeerSocket,
    tasks: BackgroundTasks,
    timers: TimerService,
) -> CrashTracker:
    """Return a node's tracker, without any records."""
    records = CrashRecords()
    return CrashTracker(
        records=records,
        judge=CrashJudge(records=records),
        answered=AnsweredFactors(),
        trials=CrashTrials(
            homes=state.fleet_homes,
            membership=state.membership,
            socket=socket,
            timers=timers,
        ),
        connection_pool=connection_pool,
        table=state.table,
        homes=state.fleet_homes,
        membership=state.membership,
        socket=socket,
        tasks=tasks,
        timers=timers,
        decisions=state.decisions,
        fault_reports=fault_reports,
        metrics=state.metrics,
    )
