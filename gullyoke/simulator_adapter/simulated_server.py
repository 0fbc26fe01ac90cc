"""One simulated server: its messages to the decisions, and their commands to the reply."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import Final

from gullyoke.admission.controller import AdmissionController
from gullyoke.admission.interface import PAST, Command, Request, RequestEvent, SiteFacts
from gullyoke.errors import GullyokeError
from gullyoke.simulator_adapter.wire import (
    CALL_RESULTS,
    FLAGS,
    RUN_RESULTS,
    Fields,
    format_command,
    format_internal_error,
    parse_gauges,
)

NONE_NAMED: Final = "0"
"""Stands where a request has no tenant, or duplicates none."""


class DecisionsNotStartedError(GullyokeError):
    """A server has no decisions because making them failed."""


class SimulatedRequest(Request):
    """A request with its id on the wire."""

    __slots__ = ("request_id",)

    request_id: str


class SimulatedServer:
    """One server's decisions; it shares nothing with the other servers.

    It is the `CommandExecutor` of its decisions. An error in them is reported in the reply; a
    malformed message raises a ValueError or a KeyError.

    Args:
        now: The time in microseconds.
        facts: What the simulator states of the server.
    """

    def __init__(self, now: int, facts: SiteFacts) -> None:
        self.reply_lines: list[str] = []
        self.requests: dict[str, SimulatedRequest] = {}
        self.request_classes = {each.name: each for each in facts.request_classes}
        self.tenants = {each.name: each for each in facts.tenants}
        self.controller: AdmissionController | None = None
        try:
            self.controller = AdmissionController(now, self, facts)
        except Exception as error:
            self.reply_lines.append(format_internal_error(error))

    def _decide(self, act: Callable[[AdmissionController], None]) -> None:
        """Call the decisions, and report what breaks in them."""
        try:
            if self.controller is None:
                raise DecisionsNotStartedError("the decisions of this server were not made")
            act(self.controller)
        except Exception as error:
            self.reply_lines.append(format_internal_error(error))

    # Commands of the decisions.

    def execute(self, request: Request, command: Command) -> None:
        """Reply with a command; some ask nothing of the simulator."""
        assert isinstance(request, SimulatedRequest)
        line = format_command(request.request_id, command)
        if line is not None:
            self.reply_lines.append(line)

    def finished(self, request: Request) -> None:
        """Forget a request whose path has ended."""
        assert isinstance(request, SimulatedRequest)
        self.requests.pop(request.request_id, None)

    def schedule_tick(self, delay: int) -> None:
        """Ask for a tick after `delay` microseconds."""
        self.reply_lines.append(f"notify_me SpanUs={delay} Token=1")

    def set_health(self, ready: bool, cheap: bool) -> None:
        """Set the answer to health checks."""
        self.reply_lines.append(f"mark_health On={ready:d} Cheap={cheap:d}")

    def set_load_signal(self, level: float) -> None:
        """Set the level that goes out with answers."""
        self.reply_lines.append(f"stamp Level={level}")

    def set_idle_timeout(self, timeout: int) -> None:
        """Set after how many microseconds idle connections are closed."""
        self.reply_lines.append(f"keepalive SpanUs={timeout}")

    def log(self, text: str) -> None:
        """Write a line to the simulator's log."""
        self.reply_lines.append(f"log Words={text}")

    def run_in_background(self, work: Iterator[None]) -> None:
        """Carry out the work at once: no time passes within a batch."""
        for _ in work:
            pass

    # Messages of the simulator.

    def arrival(self, now: int, fields: Fields) -> None:
        """Take a request that was read."""
        request_class = self.request_classes[fields["Type"]]
        arrived = now - int(fields.get("BacklogTimeUs", 0))
        first_id = fields.get("Forerunner", NONE_NAMED)
        tenant = fields.get("Owner", NONE_NAMED)
        request = SimulatedRequest(
            request_class,
            arrived,
            deadline=int(fields.get("NotAfterUs", 0)) or arrived + request_class.timeout,
            memory_kb=float(fields.get("Footprint", 0)),
            is_retry=FLAGS[fields.get("Resent", "0")],
            duplicate_of=None if first_id == NONE_NAMED else self.requests.get(first_id, PAST),
            has_key="NameKey" in fields,
            tenant=None if tenant == NONE_NAMED else self.tenants[tenant],
            cost_hint=int(fields.get("CostUs", 0)),
            rank=float(fields.get("Standing", 0)),
        )
        request.request_id = fields["Tid"]
        self.requests[request.request_id] = request
        self._decide(lambda controller: controller.on_request(now, request))

    def run_ended(self, now: int, fields: Fields) -> None:
        """Take the end of a run."""
        self._post_event(now, fields, RUN_RESULTS[fields["Result"]])

    def call_ended(self, now: int, fields: Fields) -> None:
        """Take the end of a dependency call."""
        self._post_event(now, fields, CALL_RESULTS[fields["Result"]])

    def call_needed(self, now: int, fields: Fields) -> None:
        """Take that a run waits for a dependency call."""
        self._post_event(now, fields, RequestEvent.DEPENDENCY_CALL_NEEDED)

    def client_disconnected(self, now: int, fields: Fields) -> None:
        """Take that a client has given up."""
        self._post_event(now, fields, RequestEvent.CLIENT_DISCONNECTED)

    def _post_event(self, now: int, fields: Fields, event: RequestEvent) -> None:
        request = self.requests.get(fields["Tid"])
        if request is not None:
            self._decide(lambda controller: controller.on_event(now, request, event))

    def tick(self, now: int, fields: Fields) -> None:
        """Take a tick with the server's gauges."""
        int(fields["Token"])  # there is one kind of tick
        gauges = parse_gauges(fields.get("Telemetry", ""))
        self._decide(lambda controller: controller.on_tick(now, gauges))

    def drain(self, now: int, fields: Fields) -> None:
        """Take the notice to drain."""
        stop_at = int(fields["NotAfterUs"])
        self._decide(lambda controller: controller.begin_drain(now, stop_at))

    def end_batch(self, now: int) -> list[str]:
        """Let the decisions dispatch after a batch; return the lines of the reply."""
        self._decide(lambda controller: controller.dispatch(now))
        lines = self.reply_lines
        self.reply_lines = []
        return lines


HANDLERS: Final[dict[str, Callable[[SimulatedServer, int, Fields], None]]] = {
    "arrival": SimulatedServer.arrival,
    "finished": SimulatedServer.run_ended,
    "call_done": SimulatedServer.call_ended,
    "needs": SimulatedServer.call_needed,
    "timed_out_client": SimulatedServer.client_disconnected,
    "fired": SimulatedServer.tick,
    "quiesce": SimulatedServer.drain,
}
"""What takes each message, by its name on the wire."""
