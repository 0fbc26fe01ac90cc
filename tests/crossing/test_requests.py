"""Races of requests, runs and dependency calls.

A hook lets an answer, a duplicate, a reply or a broken link come between two lines of the server.
"""

import socket
import threading
import types
import unittest
from unittest import mock

from standins import TIMEOUT_S, request_id

from crossing.live import REPEATS, Live, apart, eventually
from gullyoke.admission.interface import REMEMBERED_REQUEST, Idempotency, RequestClass, RequestEvent
from gullyoke.daemon.event_relay import EventRelay
from gullyoke.dependencies import client as dependency_module
from gullyoke.executors.engine_link import EngineLink
from gullyoke.frontends import message_handler as message_handler_module
from gullyoke.runtime import pending_request as pending_request_module
from gullyoke.runtime.dispatcher import Dispatcher
from gullyoke.runtime.duplicate_table import DuplicateTable
from gullyoke.runtime.recent_runs import RecentRuns


def answers(live):
    return sum(live.count(f"answers.{how}") for how in ("completed", "rejected", "failed"))


class Gate:
    """Replaces the lock that a request's thread waits on; `expire` ends that wait as a timeout."""

    def __init__(self):
        self.condition, self.locked, self.expired = threading.Condition(), False, False

    def acquire(self, timeout=None):
        with self.condition:
            if timeout is not None:
                self.condition.wait_for(lambda: not self.locked or self.expired, TIMEOUT_S)
            got, self.locked = not self.locked, True
            return got

    def release(self):
        with self.condition:
            self.locked = False
            self.condition.notify_all()

    def expire(self):
        with self.condition:
            self.expired = True
            self.condition.notify_all()


class Deadline(unittest.TestCase):
    def race(self, first):
        """Let a request reach its deadline while the end of its run is handled.

        `first` says which of the two answers the request. It must get exactly one answer: if both
        sides took it for open, it would be answered and counted twice.
        """
        with Live() as live:
            client = live.client()

            def before_overdue(dispatcher, request):
                live.done(request_name(request))
                if first == "run":
                    eventually(lambda: request.outcome is not None, "answered by the run")

            def before_done(relay, name, end, result):
                request = live.dispatcher.requests[name]
                if first == "deadline":
                    eventually(lambda: request.outcome is not None, "answered at its deadline")

            def before_counted(outcome):  # after the last check, before the answer is written
                eventually(lambda: not live.dispatcher.requests, "the run's end handled")

            with (
                live.hook(Dispatcher, "fail_overdue", before_overdue),
                live.hook(EventRelay, "on_run_ended", before_done),
                live.hook(message_handler_module, "outcome_name", before_counted),
                mock.patch.object(
                    pending_request_module, "threading", types.SimpleNamespace(Lock=Gate)
                ),
            ):
                for i in range(REPEATS):
                    client.send(f"x{i}")
                    live.run(f"x{i}")
                    live.dispatcher.requests[request_id(f"x{i}")].answer_gate.expire()
                    self.assertEqual(
                        client.answer(), (200, "fine") if first == "run" else (500, "")
                    )
                    eventually(lambda: not live.dispatcher.requests, "no longer in flight")
                    self.assertEqual(answers(live), i + 1)
            self.assertEqual(live.count("answers.overdue"), REPEATS)

    @apart
    def test_run_ends_first(self):
        self.race("run")

    @apart
    def test_deadline_comes_first(self):
        self.race("deadline")


def request_name(request):
    return bytes.fromhex(request.request_id).lstrip(b"\0").decode()


class Keyed(unittest.TestCase):
    def race(self, first):
        """Let a duplicate arrive while the end of the first request's run is handled.

        Both are answered by that one run: a duplicate that misses the end would wait until its
        deadline or start a second run.
        """
        with Live() as live:
            one, two = live.client(), live.client()
            for i in range(REPEATS):
                read = live.count("requests.read")

                def before_done(relay, request, event, result, i=i, read=read):
                    two.send(
                        f"r{i}", "book", of=f"k{i}", **{"Replay-Key": f"k{i}", "Is-Retry": "1"}
                    )
                    if first == "duplicate":  # it waits for the lock that this thread holds
                        eventually(lambda: live.connection(two).request is not None, "handed on")

                one.send(f"f{i}", "book", of=f"k{i}", **{"Replay-Key": f"k{i}"})
                live.run(f"f{i}")
                with live.hook(EventRelay, "finish_run", before_done):
                    live.done(f"f{i}")
                    self.assertEqual(one.answer(), (200, "fine"))
                self.assertEqual(two.answer(), (200, "fine"))
                live.check_nothing_heard()
            self.assertEqual(live.count("answers.completed"), 2 * REPEATS)

    @apart
    def test_duplicate_sent_at_the_end(self):
        self.race("end")

    @apart
    def test_duplicate_waits_for_the_lock_at_the_end(self):
        self.race("duplicate")

    @apart
    def test_duplicate_in_flight_at_the_end(self):
        """A duplicate that waits for a run is answered when the run completes, fails or is void.

        If the run's end did not reach the waiting duplicate, that would stay in flight.
        """
        for end, wanted in (("ok", (200, "fine")), ("failed", (500, "")), ("void", (500, ""))):
            with self.subTest(end), Live() as live:
                one, two = live.client(), live.client()
                for i in range(REPEATS):
                    one.send(f"f{i}", "book", of=f"k{i}", **{"Replay-Key": f"k{i}"})
                    live.run(f"f{i}")
                    two.send(f"r{i}", "book", of=f"k{i}", **{"Replay-Key": f"k{i}"})
                    eventually(
                        lambda i=i: request_id(f"r{i}") in live.dispatcher.requests,
                        "the duplicate in flight",
                    )
                    live.done(f"f{i}", "fine" if end == "ok" else "", end)
                    self.assertEqual(one.answer(), wanted)
                    self.assertEqual(two.answer(), wanted)
                    eventually(lambda: not live.dispatcher.requests, "no longer in flight")
                    live.check_nothing_heard()

    def test_end_of_a_window(self):
        """A request is a duplicate up to the last microsecond of the window and a new one later.

        While the first request is in flight, a repeat is a duplicate even after the window. An
        error by one microsecond would run a keyed request twice.
        """
        request_class = RequestClass(
            "book", 1, 1, 1.0, Idempotency.KEYED, 0.0, 1000, False, 0.0, 0.0
        )
        for kept in range(REPEATS):

            def request(arrived, content=1):
                return mock.Mock(
                    request_class=request_class,
                    key="k",
                    arrived=arrived,
                    body_digest=content,
                    key_entry=None,
                )

            duplicates, first = DuplicateTable(0), request(0)
            duplicates.remember(first, kept + 1000)
            self.assertIs(duplicates.find(request(kept + 1001), kept)[1], first)
            duplicates.record_run_end(first, None, kept)
            self.assertIs(duplicates.find(request(kept + 1000), kept)[1], REMEMBERED_REQUEST)
            self.assertIsNone(duplicates.find(request(kept + 1001), kept)[1])
            self.assertTrue(duplicates.conflicts(request(kept + 1000, content=2)))
            self.assertFalse(duplicates.conflicts(request(kept + 1001, content=2)))
            duplicates.expire(kept + 1001 + request_class.timeout)
            self.assertEqual(duplicates.entries, {})


class Calls(unittest.TestCase):
    def race(self, first):
        """Let a call's reply arrive while the call times out.

        Only one of the two events may reach admission, and it decides whether the run goes on or
        fails. With both, the run would be continued and failed.
        """
        with Live() as live:
            heard, timed_out = [], {}

            def before_timeout(database, call):
                timed_out[call] = threading.Event()
                name = request_name(call.request)
                eventually(lambda: name in live.db.carries, "the call at the database")
                link = live.db.carries[name][-1]
                live.db.say(f"{call.request.request_id} ROWS 5\r\nreply\r\n", link)
                if first == "reply":
                    eventually(lambda: call.is_over, "the reply read")
                    eventually(lambda: call.request.dependency_call is not call, "the reply taken")

            def before_ended(database, call):
                reading = threading.current_thread().name == "database"
                if first == "limit" and reading and call in timed_out:
                    eventually(lambda: call.request.dependency_call is not call, "given up")

            def record_event(relay, request, event, reply):
                heard.append(event)

            client = live.client()
            with (
                live.hook(dependency_module.DependencyClient, "on_timeout", before_timeout),
                live.hook(dependency_module.DependencyClient, "claim_end", before_ended),
                live.hook(EventRelay, "on_call_ended", record_event),
                mock.patch.object(
                    live.dispatcher.controller.dependency,
                    "call_timeout",
                    lambda request, now: 50_000,
                ),
            ):
                for i in range(REPEATS):
                    del heard[:]
                    client.send(f"p{i}", "pay")
                    live.run(f"p{i}")
                    live.need(f"p{i}")
                    got = live.db.heard.get(timeout=TIMEOUT_S)
                    self.assertEqual(got[:2], ["Q", f"p{i}"])
                    if first == "reply":
                        got = live.engine.heard.get(timeout=TIMEOUT_S)
                        self.assertEqual(got[:3], ["FEED", f"p{i}", "reply"])
                        live.done(f"p{i}")
                        self.assertEqual(client.answer(), (200, "fine"))
                        self.assertEqual(heard, [RequestEvent.CALL_SUCCEEDED])
                    else:  # the call may have taken effect, so it is not retried
                        self.assertEqual(client.answer(), (500, ""))
                        self.assertEqual(heard, [RequestEvent.CALL_OUTCOME_UNKNOWN])
                        live.done(f"p{i}", "", "halted")
                    eventually(lambda: not live.dispatcher.requests, "no longer in flight")
                    live.check_nothing_heard()
                    self.assertTrue(live.db.heard.empty())

    @apart
    def test_reply_first(self):
        self.race("reply")

    @apart
    def test_timeout_first(self):
        self.race("limit")

    @apart
    def test_call_times_out_while_it_connects(self):
        """A call times out while its connection is being opened.

        The new connection goes to the pool for the next call; otherwise it would stay open unused.
        """
        with (
            Live() as live,
            mock.patch.object(
                live.dispatcher.controller.dependency, "call_timeout", lambda request, now: 60_000
            ),
        ):
            client = live.client()
            real = dependency_module.open_connection

            def slow(address, patience):
                sock = real(address, patience)
                eventually(lambda: live.count("calls.given_up") == made[0], "given up meanwhile")
                return sock

            made, dependency = [0], live.daemon.database
            for i in range(REPEATS):
                made[0] = i + 1
                with dependency.lock:
                    old, dependency.idle = dependency.idle, []
                for connection in old:
                    connection.shut_down()
                with mock.patch.object(dependency_module, "open_connection", slow):
                    client.send(f"g{i}")
                    live.run(f"g{i}")
                    live.need(f"g{i}")
                    eventually(lambda: dependency.idle, "its connection in the pool")
                live.engine.heard.get(timeout=TIMEOUT_S)  # the run goes on without the call
                live.done(f"g{i}")
                self.assertEqual(client.answer(), (200, "fine"))
                self.assertEqual(len(dependency.idle), 1)
                eventually(lambda: dependency.connection_count == 1, "one connection open")

    @apart
    def test_reused_id(self):
        """A repeated reply to one call never answers the next call of the same run.

        Replies carry only the request's id, so the copy can't be told from the next call's reply.
        """
        with Live() as live:
            live.dispatcher.recent_runs = RecentRuns(0)  # each comes again after its id was dropped
            client = live.client()
            for i in range(REPEATS):
                client.send("same", "pay")
                live.run("same")
                for n in range(2):
                    live.need("same", f"q{i}x{n}")
                    got = live.db.heard.get(timeout=TIMEOUT_S)
                    self.assertEqual(got[:3], ["Q", "same", f"q{i}x{n}"])
                    reply = f"{request_id('same')} ROWS 4\r\nr{n:03}\r\n"
                    live.db.say(reply + (reply if n == 0 else ""), got[3])
                    got = live.engine.heard.get(timeout=TIMEOUT_S)
                    self.assertEqual(got[:3], ["FEED", "same", f"r{n:03}"])
                live.done("same")
                self.assertEqual(client.answer(), (200, "fine"))


class Links(unittest.TestCase):
    @apart
    def test_link_breaks_after_the_run_is_written(self):
        """The link breaks before the run's notices arrive; each comes twice on the new link.

        Both copies have one number, so they must lead to one call and one answer.
        """
        with Live() as live:
            client = live.client()
            for i in range(REPEATS):
                client.send(f"b{i}", "pay")
                live.run(f"b{i}", again=[f"b{i - 1}"])
                eventually(lambda: live.daemon.executor.writer.attached, "attached")
                while not live.engine.joined.empty():
                    live.engine.joined.get()
                live.engine.drop()
                got = live.engine.joined.get(timeout=TIMEOUT_S)
                self.assertEqual(got, str(live.engine.notices))
                live.engine.notices += 1
                for _ in range(2):
                    live.engine.say(
                        f"NEED {live.engine.notices} {request_id(f'b{i}')} 3\r\nask\r\n"
                    )
                self.assertEqual(live.db.heard.get(timeout=TIMEOUT_S)[:3], ["Q", f"b{i}", "ask"])
                live.engine.notices += 1
                for _ in range(2):
                    live.engine.say(
                        f"DONE {live.engine.notices} {request_id(f'b{i}')} ok 12 4\r\nfine\r\n"
                    )
                self.assertEqual(client.answer(), (200, "fine"))
                eventually(lambda: not live.dispatcher.requests, "no longer in flight")
                self.assertTrue(live.db.heard.empty())
            self.assertEqual(live.count("answers.completed"), REPEATS)

    @apart
    def test_address_moves_while_it_attaches(self):
        """The engine's address changes while the server connects to the old one.

        The server must attach at the new address and not keep the link to the old one.
        """
        with Live() as live:
            client, real = live.client(), EngineLink.attach_and_read.__globals__["open_connection"]
            for i in range(max(3, REPEATS // 10)):
                eventually(lambda: live.daemon.executor.writer.attached, "attached")
                old = live.engine

                def connect_then_move(address, patience, old=old):
                    sock = real(address, patience)
                    if address == old.address:
                        moved_engine = type(old)()
                        moved_engine.state, moved_engine.notices = "warm", old.notices
                        live.engine = moved_engine
                        live.daemon.executor.update_address(moved_engine.address)
                    return sock

                with mock.patch.dict(
                    EngineLink.attach_and_read.__globals__, {"open_connection": connect_then_move}
                ):
                    old.drop()
                    eventually(lambda old=old: live.engine is not old, "moved")
                    self.assertEqual(live.engine.joined.get(timeout=TIMEOUT_S), str(old.notices))
                live.served(client, f"m{i}")
                old.down()

    @apart
    def test_link_breaks_while_a_thread_writes(self):
        """The link breaks while another thread writes to its socket.

        The reading thread must not close the socket before that write ends: the descriptor could
        be reused, and the rest would go to another connection.
        """
        with Live() as live:
            writer, client = live.daemon.executor.writer, live.client()
            for i in range(REPEATS):
                eventually(lambda: writer.attached, "attached")
                sock, closed_under = writer.sock, []

                class Slow:
                    """A socket with slow writes that records whether it is closed during one."""

                    def __init__(self, sock, closed_under=closed_under):
                        self.sock, self.closed_under, self.writing = sock, closed_under, False

                    def send(self, data, flags):
                        raise BlockingIOError

                    def sendall(self, data):
                        self.writing = True
                        self.sock.shutdown(socket.SHUT_RDWR)  # the reading thread now finds the end
                        eventually(lambda: not writer.attached, "the reading side at its close")
                        self.writing = False

                    def close(self):
                        self.closed_under.append(self.writing)
                        self.sock.close()

                    def __getattr__(self, name):
                        return getattr(self.sock, name)

                with writer.condition:
                    writer.sock = Slow(sock)
                client.send(f"w{i}")
                live.run(f"w{i}", again=[f"w{i - 1}"])
                live.done(f"w{i}")
                self.assertEqual(client.answer(), (200, "fine"))
                self.assertEqual(closed_under, [False])


if __name__ == "__main__":
    unittest.main()
