"""Engine commands are written in order and without blocking; the wake-up of answer writers."""

import contextlib
import socket
import threading
import types
import unittest

from standins import site

from gullyoke.admission.interface import FAIL
from gullyoke.daemon.event_relay import EventRelay
from gullyoke.executors import RunOutcome, engine_protocol
from gullyoke.executors.engine_link import EngineLink
from gullyoke.executors.engine_protocol import RunEndedNotice
from gullyoke.executors.unconfirmed_commands import MAX_UNCONFIRMED
from gullyoke.runtime.dispatcher import Dispatcher
from gullyoke.runtime.messages import Message
from gullyoke.runtime.metrics import Metrics
from gullyoke.runtime.pending_request import PendingRequest
from gullyoke.settings.reader import flatten_settings
from gullyoke.settings.site_settings import parse_site_facts


def request(number):
    return types.SimpleNamespace(
        request_id=f"{number:016x}",
        request_class=types.SimpleNamespace(name="view"),
        notices_read=0,
        message=Message(("", "", ""), {}, bytes([65 + number % 26]) * 2000),
    )


class Listener:
    """Counts the notices on these requests, and notes the ends of runs without reporting them."""

    def __init__(self, *requests):
        self.requests = {each.request_id: each for each in requests}
        self.ended = []

    def is_in_flight(self, request):
        return self.requests.get(request.request_id) is request

    def on_notice_read(self, request_id):
        self.requests[request_id].notices_read += 1

    def on_run_ended(self, request_id, outcome, result):
        self.ended.append(request_id)


def read_to_end(sock):
    with contextlib.suppress(OSError):
        while sock.recv(65536):
            pass


class Writing(unittest.TestCase):
    def open_link(self, stack):
        """Return a link with a small send buffer, and the other end, which nobody reads yet."""
        metrics = Metrics()
        engine = EngineLink(("127.0.0.1", 1), (), metrics)
        ours, theirs = socket.socketpair()
        stack.enter_context(ours)
        stack.enter_context(theirs)
        ours.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        engine.writer.sock, engine.writer.attached = ours, True
        threading.Thread(
            target=metrics.run_forever,
            args=("engine", engine.writer.write_pending),
            daemon=True,
        ).start()
        return engine, theirs

    def test_full_link(self):
        """A link that accepts only part of a command.

        The rest is written before the next command, and threads that give commands do not block.
        Guards against interleaved commands, and against a server that stalls because the engine
        does not read.
        """
        with contextlib.ExitStack() as stack:
            engine, theirs = self.open_link(stack)
            wanted = b""
            for i in range(200):
                engine.start_run(request(i))
                engine.flush()
                wanted += (
                    f"RUN {i:016x} view 2000\r\n".encode() + bytes([65 + i % 26]) * 2000 + b"\r\n"
                )
            self.assertEqual(self.read(theirs, len(wanted)), wanted)

    def test_unanswered_polls(self):
        """An engine that never answers polls of the gauges.

        Unconfirmed commands of requests that are over do not pile up.
        """
        with contextlib.ExitStack() as stack:
            engine, theirs = self.open_link(stack)
            in_flight = set()
            engine.writer.listener = types.SimpleNamespace(
                is_in_flight=lambda one: one.request_id in in_flight
            )
            threading.Thread(target=read_to_end, args=(theirs,), daemon=True).start()
            kept = request(0)
            in_flight.add(kept.request_id)
            engine.start_run(kept)
            for i in range(2000):
                engine.start_run(request(i))
                engine.poll_gauges(i)
            self.assertLessEqual(len(engine.writer.unconfirmed), 2 * MAX_UNCONFIRMED)
            self.assertEqual(sum(s.request is kept for s in engine.writer.unconfirmed), 1)

    def test_partial_command_is_dropped_on_a_new_link(self):
        """The unwritten rest of a command on a broken link is not written to the next link.

        It would be invalid there; the whole command is sent again.
        """
        with contextlib.ExitStack() as stack:
            engine, theirs = self.open_link(stack)
            engine.writer.attached = False
            one = request(1)
            engine.start_run(one)
            engine.writer.bytes_written = len("RUN 0000")  # accepted by the link that broke
            engine.writer.attach()
            wanted = engine_protocol.run(one.request_id, "view", one.message.body)
            self.assertEqual(self.read(theirs, len(wanted)), wanted)

    def test_command_that_no_link_accepted_is_sent_once(self):
        """A command is queued while the link is broken, before the reading thread has noticed.

        No byte of it left the server, so the next link carries it, and only once.
        """
        with contextlib.ExitStack() as stack:
            engine, theirs = self.open_link(stack)
            theirs.close()
            one = request(1)
            engine.send_call_reply(one, b"rows")
            engine.flush()
            engine.writer.close()
            self.assertEqual(list(engine.writer.unconfirmed), [])
            ours, theirs = socket.socketpair()
            stack.enter_context(theirs)
            engine.writer.sock = stack.enter_context(ours)
            engine.writer.attach()
            wanted = engine_protocol.call_reply(one.request_id, b"rows")
            self.assertEqual(self.read(theirs, len(wanted)), wanted)
            engine.writer.close()
            self.assertEqual(theirs.recv(1), b"")

    def test_run_whose_end_is_not_reported_yet(self):
        """The link breaks after the end of a run was read, while a disk write delays its report.

        The run must not be sent again: it would take effect a second time.
        """
        with contextlib.ExitStack() as stack:
            engine, _ = self.open_link(stack)
            one = request(1)
            listener = engine._listener = engine.writer.listener = Listener(one)
            engine.start_run(one)
            engine.flush()
            engine._on_notice(RunEndedNotice(1, one.request_id, RunOutcome.COMPLETED, b"fine"))
            self.assertEqual(listener.ended, [one.request_id])
            self.assertEqual(engine.writer.attach().resent, 0)
            self.assertEqual(list(engine.writer.outbox), [])

    def test_call_reply_that_may_be_lost_is_not_sent_again(self):
        """The link breaks after the reply to a call was written.

        The engine may have read it, and the run may wait for its next call: sent again, the reply
        would be taken for that to the next call. The run's other commands are sent again.
        """
        with contextlib.ExitStack() as stack:
            engine, _ = self.open_link(stack)
            one, other = request(1), request(2)
            engine.writer.listener = Listener(one, other)
            engine.send_call_reply(one, b"rows")
            engine.start_run(other)
            engine.flush()
            engine.writer.attached = False
            report = engine.writer.attach()
            self.assertEqual(report.unconfirmed_replies, [one])
            self.assertEqual(report.resent, 1)
            self.assertEqual([each.request for each in engine.writer.outbox], [other])

    def test_later_request_with_the_same_id(self):
        """A client uses an id again while a command of the request before is unconfirmed.

        Guards against that command being sent again as one of the later request.
        """
        with contextlib.ExitStack() as stack:
            engine, _ = self.open_link(stack)
            facts = parse_site_facts(flatten_settings(site()))
            dispatcher = Dispatcher(facts, Metrics())
            engine.writer.listener = EventRelay(dispatcher, None, engine, Metrics())
            earlier, later = request(1), request(1)
            dispatcher.requests[earlier.request_id] = earlier
            engine.start_run(earlier)
            engine.flush()
            dispatcher.requests[later.request_id] = later
            self.assertEqual(engine.writer.attach().resent, 0)
            self.assertEqual(list(engine.writer.outbox), [])

    def read(self, sock, size):
        """Return the next `size` bytes of a socket."""
        sock.settimeout(10)
        got = b""
        while len(got) < size:
            got += sock.recv(size - len(got))
        return got

    def test_answer_gate_opens_after_the_lock(self):
        """The thread that writes an answer is woken after the dispatcher's lock is released.

        Woken earlier, it would wait for the lock of the thread that woke it.
        """
        facts = parse_site_facts(flatten_settings(site()))
        dispatcher = Dispatcher(facts, Metrics())
        dispatcher.executor = types.SimpleNamespace(finished=lambda _: None, execute=None)
        dispatcher.controller = types.SimpleNamespace(dispatch=lambda _: None)
        one = PendingRequest(facts.request_classes[0], 0, 10**9, 1.0)
        one.attach_message("1" * 16, None, Message(("", "", ""), {}, b""), "gateway")
        locked = []
        one.answer_gate = types.SimpleNamespace(
            release=lambda: locked.append(dispatcher.lock.locked())
        )
        dispatcher.handle(lambda: dispatcher.answer(one, FAIL), one)
        self.assertEqual(locked, [False])


if __name__ == "__main__":
    unittest.main()
