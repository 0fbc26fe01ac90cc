"""One simulated server: passes messages to its admission controller, and commands to the reply."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import Final

from gullyoke.admission.controller import AdmissionController
from gullyoke.admission.interface import (
    REMEMBERED_REQUEST,
    Command,
    Request,
    RequestEvent,
    SiteFacts,
)
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

ABSENT_NAME: Final = "0"
"""The value of a field that names no tenant, or no duplicated request."""


class DecisionsNotStartedError(GullyokeError):
    """A server has no admission controller because creating it failed."""


class SimulatedRequest(Request):
    """A request with its identifier on the wire."""

    __slots__ = ("request_id",)

    request_id: str


class SimulatedServer:
    """One simulated server, which shares no state with the others.

    It is the `CommandExecutor` of its admission controller. An error in the controller is reported
    in the reply; a malformed message raises a ValueError or a KeyError.

    Args:
        now: The time in microseconds.
        facts: The site facts that the simulator sent for the server.
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

    def _call_controller(self, call: Callable[[AdmissionController], None]) -> None:
        """Call the controller, and report an error in it to the simulator."""
        try:
            if self.controller is None:
                raise DecisionsNotStartedError("this server has no admission controller")
            call(self.controller)
        except Exception as error:
            self.reply_lines.append(format_internal_error(error))

    # Commands of the controller.

    def execute(self, request: Request, command: Command) -> None:
        """Add a command to the reply, unless the simulator need not carry it out."""
        assert isinstance(request, SimulatedRequest)
        line = format_command(request.request_id, command)
        if line is not None:
            self.reply_lines.append(line)

    def finished(self, request: Request) -> None:
        """Forget a request whose path has ended."""
        assert isinstance(request, SimulatedRequest)
        self.requests.pop(request.request_id, None)

    def schedule_tick(self, delay: int) -> None:
        """Ask the simulator for a tick after `delay` microseconds."""
        self.reply_lines.append(f"notify_me SpanUs={delay} Token=1")

    def set_health(self, ready: bool, cheap: bool) -> None:
        """Tell the simulator how to answer health checks."""
        self.reply_lines.append(f"mark_health On={ready:d} Cheap={cheap:d}")

    def set_load_signal(self, level: float) -> None:
        """Tell the simulator which load signal to send with answers."""
        self.reply_lines.append(f"stamp Level={level}")

    def set_idle_timeout(self, timeout: int) -> None:
        """Tell the simulator to close connections that are idle for `timeout` microseconds."""
        self.reply_lines.append(f"keepalive SpanUs={timeout}")

    def log(self, text: str) -> None:
        """Write a line to the simulator's log."""
        self.reply_lines.append(f"log Words={text}")

    def run_in_background(self, work: Iterator[None]) -> None:
        """Carry out the work at once, since no simulated time passes within a batch."""
        for _ in work:
            pass

    # Messages of the simulator.

    def arrival(self, now: int, fields: Fields) -> None:
        """Handle a request that the server has read."""
        request_class = self.request_classes[fields["Type"]]
        arrived = now - int(fields.get("BacklogTimeUs", 0))
        first_id = fields.get("Forerunner", ABSENT_NAME)
        tenant = fields.get("Owner", ABSENT_NAME)
        request = SimulatedRequest(
            request_class,
            arrived,
            deadline=int(fields.get("NotAfterUs", 0)) or arrived + request_class.timeout,
            memory_kb=float(fields.get("Footprint", 0)),
            is_retry=FLAGS[fields.get("Resent", "0")],
            duplicate_of=None
            if first_id == ABSENT_NAME
            else self.requests.get(first_id, REMEMBERED_REQUEST),
            has_key="NameKey" in fields,
            tenant=None if tenant == ABSENT_NAME else self.tenants[tenant],
            cost_hint=int(fields.get("CostUs", 0)),
            rank=float(fields.get("Standing", 0)),
        )
        request.request_id = fields["Tid"]
        self.requests[request.request_id] = request
        self._call_controller(lambda controller: controller.on_request(now, request))

    def run_ended(self, now: int, fields: Fields) -> None:
        """Handle the end of a run."""
        self._post_event(now, fields, RUN_RESULTS[fields["Result"]])

    def call_ended(self, now: int, fields: Fields) -> None:
        """Handle the end of a dependency call."""
        self._post_event(now, fields, CALL_RESULTS[fields["Result"]])

    def call_needed(self, now: int, fields: Fields) -> None:
        """Handle a run that waits for a dependency call."""
        self._post_event(now, fields, RequestEvent.DEPENDENCY_CALL_NEEDED)

    def client_disconnected(self, now: int, fields: Fields) -> None:
        """Handle a client that has given up."""
        self._post_event(now, fields, RequestEvent.CLIENT_DISCONNECTED)

    def _post_event(self, now: int, fields: Fields, event: RequestEvent) -> None:
        request = self.requests.get(fields["Tid"])
        if request is not None:
            self._call_controller(lambda controller: controller.on_event(now, request, event))

    def tick(self, now: int, fields: Fields) -> None:
        """Handle a tick, which carries the server's gauges."""
        int(fields["Token"])  # checked only: there is just one kind of tick
        gauges = parse_gauges(fields.get("Telemetry", ""))
        self._call_controller(lambda controller: controller.on_tick(now, gauges))

    def drain(self, now: int, fields: Fields) -> None:
        """Handle the notice to drain."""
        stop_at = int(fields["NotAfterUs"])
        self._call_controller(lambda controller: controller.begin_drain(now, stop_at))

    def end_batch(self, now: int) -> list[str]:
        """Let the controller dispatch requests after a batch, and return the lines of the reply."""
        self._call_controller(lambda controller: controller.dispatch(now))
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
"""The handler of each message, by the name of the message on the wire."""
