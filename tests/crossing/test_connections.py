"""Races of client connections.

A hook lets a request, part of one or a close come between two lines of the server.
"""

import contextlib
import errno
import queue
import random
import threading
import unittest
from unittest import mock

from standins import message, site

from crossing.live import REPEATS, Client, Live, apart, descriptors, eventually, unread
from gullyoke.frontends import connection as connection_module
from gullyoke.frontends import connection_sweep as connection_sweep_module
from gullyoke.frontends import eviction as eviction_module
from gullyoke.frontends import listener as listener_module
from gullyoke.frontends.connection import Connection, State
from gullyoke.frontends.connection_limits import ConnectionLimits
from gullyoke.frontends.connections import ConnectionTable
from gullyoke.frontends.http1 import Http1
from gullyoke.frontends.message_handler import MessageHandler
from gullyoke.runtime import worker_pool as worker_pool_module
from gullyoke.runtime.close_reasons import CloseReason
from gullyoke.runtime.dispatcher import Dispatcher
from gullyoke.runtime.lifecycle import Lifecycle
from gullyoke.runtime.metrics import Metrics
from gullyoke.runtime.worker_pool import WorkerPool
from gullyoke.settings.reader import flatten_settings
from gullyoke.settings.site_settings import parse_site_facts


class Idle(unittest.TestCase):
    """A request arrives while the server closes its idle connection."""

    def crossed(self, when):
        """Let a request arrive just `before` or just `after` the server's half-close.

        The client must see an orderly close and the request must not run. Closing with unread
        bytes would reset the connection, and the client could not tell whether it is safe to retry.
        """
        with Live() as live:
            for i in range(REPEATS):
                client, real = live.client(), connection_module.half_close
                live.served(client, f"s{i}")
                ours = live.connection(client)
                eventually(lambda ours=ours: ours.state is State.IDLE, "idle")
                ended, crossed = live.count("ends.gateway.idle"), live.count("messages.crossed")

                def close(sock, client=client, name=f"x{i}", real=real):
                    with mock.patch.object(connection_module, "half_close", real):
                        if when == "before":
                            client.send(name)
                        real(sock)
                        if when == "after":
                            client.send(name)

                with mock.patch.object(connection_module, "half_close", close):
                    self.assertTrue(ours.close_if_idle(CloseReason.IDLE))
                self.assertIsNone(client.answer())  # raises an error if the connection was reset
                eventually(
                    lambda ended=ended: live.count("ends.gateway.idle") == ended + 1, "its end"
                )
                self.assertEqual(live.count("messages.crossed"), crossed + 1)
                client.close()
                eventually(lambda: not live.connections.open, "closed")
                live.check_nothing_heard()

    @apart
    def test_request_before_the_half_close(self):
        self.crossed("before")

    @apart
    def test_request_after_the_half_close(self):
        self.crossed("after")

    @apart
    def test_first_bytes_are_in_the_socket(self):
        """A connection with unread bytes in its socket is not closed as idle.

        The state still says idle until the owning thread reads, so the state alone would close it.
        """
        with Live() as live:
            client = live.client()
            live.served(client, "first")
            ours = live.connection(client)
            for i in range(REPEATS):
                eventually(lambda: ours.state is State.IDLE, "idle")
                reached, go = threading.Event(), threading.Event()

                def wait(connection, reached=reached, go=go):
                    reached.set()
                    go.wait(10)

                # The owning thread is held before its receive, so the bytes stay in the socket.
                with live.hook(Connection, "become_idle", wait):
                    live.served(client, f"a{i}")
                    self.assertTrue(reached.wait(10))
                    client.send(f"b{i}")
                    eventually(lambda: unread(ours.sock), "bytes in the socket")
                    with ours.lock:
                        ours.state = State.IDLE  # the state before the hook held the thread
                    self.assertFalse(ours.close_if_idle(CloseReason.IDLE))
                    go.set()
                live.run(f"b{i}")
                live.done(f"b{i}")
                self.assertEqual(client.answer(), (200, "fine"))

    @apart
    def test_read_but_not_begun(self):
        """The close is decided after the first bytes are received, but before the state changes.

        The connection must close in an orderly way and the request must not run.
        """
        with Live() as live:
            for i in range(REPEATS):
                client = live.client()
                live.served(client, f"s{i}")
                ours = live.connection(client)
                eventually(lambda ours=ours: ours.state is State.IDLE, "idle")

                def close_before_reading(connection, state, ours=ours):
                    if connection is ours and state is State.READING:
                        self.assertTrue(ours.close_if_idle(CloseReason.IDLE))

                with live.hook(Connection, "_set_state", close_before_reading):
                    client.send(f"x{i}")
                    self.assertIsNone(client.answer())
                client.close()
                eventually(lambda: not live.connections.open, "closed")
                live.check_nothing_heard()

    @apart
    def test_half_a_message_is_not_idle(self):
        """A connection with part of a message is not closed as idle, and the whole is answered."""
        with Live(idle=200) as live:
            client = live.client()
            live.served(client, "first")
            ours = live.connection(client)
            for i in range(REPEATS):
                data = message(f"h{i}", "view")
                cut = random.Random(i).randrange(1, len(data))
                client.sock.sendall(data[:cut])
                eventually(lambda: ours.state is State.READING, "reading")
                self.assertFalse(ours.close_if_idle(CloseReason.IDLE))
                self.assertFalse(ours.close_if_idle(CloseReason.LEAVING))
                client.sock.sendall(data[cut:])
                live.run(f"h{i}")
                live.done(f"h{i}")
                self.assertEqual(client.answer(), (200, "fine"))

    @apart
    def test_peer_that_never_closes(self):
        """After a half-close, a client that never closes doesn't keep the connection open.

        Without a bound on that wait, such clients would use up descriptors.
        """
        with Live() as live:
            for i in range(max(3, REPEATS // 10)):
                clients = [live.client() for _ in range(5)]
                for n, client in enumerate(clients):
                    live.served(client, f"c{i}x{n}")
                for client in clients:
                    ours = live.connection(client)
                    eventually(lambda ours=ours: ours.state is State.IDLE, "idle")
                    self.assertTrue(ours.close_if_idle(CloseReason.IDLE))
                    live.connections.mark_closing(ours)
                eventually(lambda: not live.connections.open, "all closed")
                self.assertFalse(live.connections.closing or live.connections.idle)
                for client in clients:
                    client.close()


class Stalled(unittest.TestCase):
    @apart
    def test_last_byte_as_a_stalled_connection_is_aborted(self):
        """The last byte of a slow message arrives while the connection is aborted as stalled.

        The message must not run: nobody could receive the answer.
        """
        with Live() as live:
            real = connection_module.shutdown_both
            for i in range(REPEATS):
                client = live.client()
                live.served(client, f"s{i}")
                ours = live.connection(client)
                data = message(f"x{i}", "view")
                client.sock.sendall(data[:-1])
                eventually(lambda ours=ours: ours.state is State.READING, "reading")

                def send_last_byte(sock, client=client, data=data, ours=ours):
                    if sock is ours.sock and threading.current_thread() is threading.main_thread():
                        client.sock.sendall(data[-1:])
                        eventually(lambda: not unread(sock), "the last byte read")
                    real(sock)

                with mock.patch.object(connection_module, "shutdown_both", send_last_byte):
                    decided = ours.abort(CloseReason.STALLED, {State.READING}, ours.state_since)
                self.assertTrue(decided)
                with self.subTest(i), contextlib.suppress(ConnectionResetError):
                    self.assertIsNone(client.answer())
                client.close()
                eventually(lambda: not live.connections.open, "closed")
                live.check_nothing_heard()
            self.assertEqual(live.count("ends.gateway.stalled"), REPEATS)

    @apart
    def test_sweep_of_a_message_just_completed(self):
        """The sweep finds a stalled message that becomes complete before the sweep acts.

        The request is then in flight and must be answered, not aborted.
        """
        with Live() as live:
            client = live.client()
            live.served(client, "first")
            ours = live.connection(client)
            for i in range(REPEATS):
                data = message(f"x{i}", "view")
                client.sock.sendall(data[:-1])
                eventually(lambda: ours.state is State.READING, "reading")
                first, complete = threading.Lock(), threading.Event()

                def complete_message(
                    connection, *given, data=data, i=i, first=first, complete=complete
                ):
                    if connection is ours and first.acquire(blocking=False):
                        client.sock.sendall(data[-1:])
                        live.run(f"x{i}")
                        complete.set()
                    complete.wait(10)  # the server's own sweep may call this as well

                with live.hook(Connection, "abort", complete_message):
                    ours.state_since -= 2 * connection_sweep_module.STALL_TIMEOUT_US
                    live.connections.sweep()
                    self.assertTrue(complete.wait(10))
                live.done(f"x{i}")
                self.assertEqual(client.answer(), (200, "fine"))
                eventually(lambda: ours.state is State.IDLE, "idle")


class Listeners(unittest.TestCase):
    @apart
    def test_connection_between_last_accept_and_close(self):
        """A connection made as the listener shuts down is neither served nor left open.

        Otherwise its client would wait for an answer from a server that has stopped accepting.
        """
        dispatcher = Dispatcher(parse_site_facts(flatten_settings(site())), Metrics())
        real = listener_module.shutdown_both
        for _ in range(REPEATS):
            lifecycle, metrics = Lifecycle(0), Metrics()
            table = ConnectionTable(ConnectionLimits(10), dispatcher, lifecycle, metrics)
            table.listen(("127.0.0.1", 0), Http1(MessageHandler(dispatcher, lifecycle, metrics)))
            table.start()
            listener, clients = table.listeners[0], []

            def late(sock, listener=listener, clients=clients):
                if sock is listener.sock:
                    clients.append(Client(sock.getsockname()))
                    clients[0].send("late")
                real(sock)

            with mock.patch.object(listener_module, "shutdown_both", late):
                table.stop_accepting()
            try:
                answer = clients[0].answer()
            except OSError as fault:
                self.assertEqual(fault.errno, errno.ECONNRESET)
                answer = None
            # If the thread accepted it in time, the request is rejected and the connection closed.
            self.assertIn(answer, (None, (503, "")))
            clients[0].close()
            eventually(lambda table=table: not table.open, "closed")
            eventually(lambda listener=listener: listener.sock.fileno() < 0, "the listener closed")

    @apart
    def test_new_connections_wait_for_closing_ones(self):
        """Under a flood of new connections, closing ones stay within the reserved descriptors.

        If accepting didn't wait for them, it would run out of descriptors and fail.
        """
        with Live(sockets=64) as live:
            table, most = live.connections, live.daemon.connection_limits.max_connections
            clients, peak = [], [0]

            def record_peak(sock, listener):
                peak[0] = max(peak[0], len(table.open))

            with live.hook(table, "add", record_peak):
                for _ in range(3 * most + REPEATS):
                    client = live.client()
                    clients.append(client)
                    client.sock.sendall(b"GET /ping HTTP/1.1\r\n\r\n")
                    try:
                        client.answer()
                    except OSError:
                        continue
            self.assertLessEqual(peak[0], most + eviction_module.MAX_CLOSING)
            self.assertEqual(live.count("accept.failed"), 0)
            for client in clients:
                client.close()


class LateInbox:
    """A worker's inbox whose first wait times out just as a task is assigned."""

    def __init__(self, workers, task):
        self.workers, self.task, self.items, self.assigned = workers, task, [], threading.Event()

    def put(self, item):
        self.items.append(item)
        self.assigned.set()

    def get(self, timeout=None):
        if timeout is not None:
            if self.task is not None:
                task, self.task = self.task, None
                assert self.workers.assign(task)
            raise queue.Empty
        assert self.assigned.wait(10)
        return self.items.pop(0)


class Workers(unittest.TestCase):
    def test_task_assigned_as_the_idle_wait_ends(self):
        """A worker's idle wait times out at the moment a task is assigned to it.

        The worker must run the task before it ends; otherwise the task would be lost.
        """
        for _ in range(REPEATS):
            tasks_run = []
            workers = WorkerPool(tasks_run.append)
            inbox = LateInbox(workers, "second")
            with mock.patch.object(
                worker_pool_module.queue, "SimpleQueue", lambda inbox=inbox: inbox
            ):
                thread = threading.Thread(target=workers.run_worker, args=("first",))
                thread.start()
                thread.join(10)
            self.assertFalse(thread.is_alive())
            self.assertEqual(tasks_run, ["first", "second"])
            self.assertEqual(workers.idle_inboxes, [])


class BadInput(unittest.TestCase):
    """Each kind of unreadable request gets its status and is counted.

    A path that closes badly would leak a thread or a descriptor, or reset the connection.
    """

    CASES = (
        (b"nonsense\r\n\r\n", 400),
        (b"POST /call/view HTTP/2\r\n\r\n", 505),
        (b"POST /call/view HTTP/1.1\r\n\r\n", 411),
        (b"POST /call/view HTTP/1.1\r\nContent-Length: -1\r\n\r\n", 400),
        (b"POST /call/view HTTP/1.1\r\nContent-Length: 99999999999999\r\n\r\n", 413),
        (b"POST /call/view HTTP/1.1\r\nContent-Length: 60000000\r\n\r\n" + b"x" * 70000, 413),
        (
            b"POST /call/view HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\nx",
            501,
        ),
        (b"POST /call/view HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nx", 400),
        (b"POST /call/none HTTP/1.1\r\nContent-Length: 0\r\n\r\n", 404),
        (b"GET /call/view HTTP/1.1\r\n\r\n", 405),
        (b"POST /else HTTP/1.1\r\nContent-Length: 0\r\n\r\n", 404),
        (b"POST /call/view HTTP/1.1\r\nContent-Length: 0\r\n\r\n", 400),  # no id
        (b"GET /ping HTTP/1.1\r\nno colon\r\n\r\n", 400),
        (b"GET /ping HTTP/1.1\r\nA: b\nC: d\r\n\r\n", 400),
        (b"GET /ping HTTP/1.1\r\nA: " + b"x" * 5000, 431),
        (message("a", "view", **{"Reserve-Kb": "nan"}), 400),
        (message("a", "view", **{"Reserve-Kb": "-1"}), 400),
        (message("a", "view", **{"Max-Wait-Ms": "1e9"}), 400),
        (message("a", "view", **{"Standing": "1.5"}), 400),
        (message("a", "view", **{"Accepted-At-Ms": "soon"}), 400),
        (message("a", "view", **{"Project": "nobody"}), 400),
    )

    @apart
    def test_messages(self):
        with Live() as live:
            warm = live.client()
            live.served(warm, "first")
            for data, status in self.CASES:  # starts the worker threads that stay
                self.check_answer(live, data, status)
            eventually(lambda: len(live.connections.open) == 1, "closed")
            threads, open_descriptors = threading.active_count(), descriptors()
            over_unread = []  # closing with unread bytes would reset it
            live.enter_context(
                live.hook(
                    connection_module,
                    "shutdown_both",
                    lambda sock: over_unread.append(unread(sock)),
                )
            )
            for i in range(max(1, REPEATS // 10)):
                for data, status in self.CASES:
                    before = (
                        live.count(f"bad_requests.{status}"),
                        live.count("ends.gateway.declared"),
                    )
                    with self.subTest(data=data[:60], i=i):
                        self.check_answer(live, data, status)
                        eventually(lambda: len(live.connections.open) == 1, "closed")
                        after = (
                            live.count(f"bad_requests.{status}"),
                            live.count("ends.gateway.declared"),
                        )
                        self.assertEqual(after, (before[0] + 1, before[1] + 1))
            self.assertEqual(set(over_unread), {False})
            self.assertLessEqual(threading.active_count(), threads)
            self.assertEqual(descriptors(), open_descriptors)
            live.check_nothing_heard()
            live.served(warm, "last")

    def check_answer(self, live, data, status):
        client = live.client()
        try:
            client.sock.sendall(data)
        except OSError:
            pass  # the server may close before it has read all of it
        try:
            self.assertEqual(client.answer(), (status, ""))
            self.assertIsNone(client.answer())
        finally:
            client.close()

    @apart
    def test_truncated_messages(self):
        """A message cut off at any byte, by a close or a reset, leaks no thread or descriptor."""
        with Live() as live:
            warm = live.client()
            live.served(warm, "first")
            data = message("cut", "view")
            threads, open_descriptors = None, None
            for i in range(REPEATS):
                client = live.client()
                client.sock.sendall(data[: random.Random(i).randrange(1, len(data))])
                if i % 2:
                    client.sock.setsockopt(
                        connection_module.socket.SOL_SOCKET,
                        connection_module.socket.SO_LINGER,
                        b"\1\0\0\0\0\0\0\0",
                    )
                client.close()
                eventually(lambda i=i: live.count("connections.opened") == i + 2, "accepted")
                eventually(lambda: len(live.connections.open) == 1, "closed")
                if i == 4:
                    threads, open_descriptors = threading.active_count(), descriptors()
            self.assertEqual(descriptors(), open_descriptors)
            self.assertLessEqual(threading.active_count(), threads + 1)
            live.check_nothing_heard()
            live.served(warm, "last")


if __name__ == "__main__":
    unittest.main()
