"""Properties of membership under arbitrary faults, orders of merging and bytes of datagrams."""

import contextlib
import itertools
import random
import unittest

from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule, run_state_machine_as_test

from gullyoke.emulator.peers import SECOND, fleet
from gullyoke.membership.member_record import (
    MemberRecord,
    Status,
    StatusUpdate,
    Suspicion,
    SuspicionKind,
    SuspicionReport,
    member_id,
    start_version,
)
from gullyoke.membership.messages import (
    Ack,
    Gossip,
    Hello,
    Ping,
    PingRequest,
    ViewDigests,
    ViewRecords,
)
from gullyoke.membership.view import View
from gullyoke.peer_transport import codec
from gullyoke.peer_transport.field_readers import MalformedDatagramError
from gullyoke.peer_transport.seal import ReplayWindow, Seal, UnusableKeyError, parse_keys

TEXT = st.text("abcdefghij0123456789.:-", min_size=1, max_size=20)
NUMBER, LOST = st.integers(0, 2**63), st.integers(0, 255)
RECORD = st.builds(
    MemberRecord, TEXT, st.integers(0, 2**62), st.sampled_from(Status), TEXT, TEXT, NUMBER
)
SUSPICION = st.builds(Suspicion, NUMBER, NUMBER, st.sampled_from(SuspicionKind))
UPDATE = st.one_of(
    RECORD,
    st.builds(StatusUpdate, NUMBER, NUMBER, st.sampled_from(Status), NUMBER, LOST, LOST),
    st.builds(
        SuspicionReport,
        NUMBER,
        NUMBER,
        NUMBER,
        st.booleans(),
        st.lists(SUSPICION, max_size=3).map(tuple),
    ),
)
UPDATES = st.lists(UPDATE, max_size=4).map(tuple)
MESSAGE = st.one_of(
    st.builds(Ping, RECORD, NUMBER, NUMBER, LOST, UPDATES, NUMBER),
    st.builds(Ack, RECORD, NUMBER, NUMBER, NUMBER, LOST, UPDATES, NUMBER),
    st.builds(PingRequest, RECORD, NUMBER, RECORD, NUMBER, LOST, UPDATES, NUMBER),
    st.builds(Gossip, RECORD, NUMBER, LOST, UPDATES, NUMBER),
    st.builds(Hello, RECORD),
    st.builds(ViewDigests, RECORD, st.lists(NUMBER, max_size=64).map(tuple)),
    st.builds(
        ViewRecords,
        RECORD,
        st.lists(st.tuples(NUMBER, NUMBER), max_size=4).map(tuple),
        st.lists(RECORD, max_size=4).map(tuple),
        st.booleans(),
        NUMBER,
    ),
)
MEMBER = st.integers(0, 5)


class Faults(RuleBasedStateMachine):
    """Three to six members under any loss, duplicates, cuts, pauses, ends and starts.

    Once all faults have ended, all views agree within `HEAL_TIME_US`.
    """

    HEAL_TIME_US = 60 * SECOND  # a removed member first settles, for longer after each removal

    def __init__(self):
        super().__init__()
        self.net, self.cuts, self.versions = None, set(), {}

    @rule(size=st.integers(3, 6), seed=st.integers(0, 50))
    def begin(self, size, seed):
        if self.net is None:
            self.net = fleet(size, seed, joined=True, settle_us=SECOND)
            self.net.cut = lambda now, a, b: 1.0 if (a.name, b.name) in self.cuts else 0.0

    def name_of(self, number):
        names = list(self.net.hosts)
        return names[number % len(names)]

    @rule(span=st.integers(1, 60))
    def play(self, span):
        if self.net:
            self.net.run(self.net.now + span * 100_000)

    @rule(one=MEMBER, other=MEMBER, both=st.booleans())
    def cut(self, one, other, both):
        if self.net:
            a, b = self.name_of(one), self.name_of(other)
            self.cuts |= {(a, b), (b, a)} if both else {(a, b)}

    @rule()
    def heal(self):
        self.cuts.clear()
        if self.net:
            self.net.loss = self.net.duplicated = 0.0

    @rule(loss=st.sampled_from((0.1, 0.3, 0.6)), duplicated=st.sampled_from((0.0, 0.3)))
    def lose(self, loss, duplicated):
        if self.net:
            self.net.loss, self.net.duplicated = loss, duplicated

    @rule(one=MEMBER, span=st.integers(1, 50))
    def pause(self, one, span):
        if self.net and self.net.hosts[self.name_of(one)].up:
            self.net.pause(self.name_of(one), span * 100_000)

    @rule(one=MEMBER, refuses=st.booleans())
    def end(self, one, refuses):
        if self.net and len(self.net.running()) > 2:
            self.net.kill(self.name_of(one), refuses)

    @rule(one=MEMBER, behind=st.sampled_from((0, 5, 3600)))
    def start(self, one, behind):
        if self.net and not self.net.hosts[self.name_of(one)].up:
            self.net.start(self.name_of(one), ["m0", "m1", "m2"], behind=behind)

    @invariant()
    def versions_never_decrease(self):
        """The version of a member's record in a view never decreases."""
        for host in self.net.running() if self.net else ():
            view, seen = host.member.view, self.versions.setdefault((host.name, host.starts), {})
            if len(view) == 1:
                seen.clear()  # a removed member has discarded its view
            for record in view.records.values():
                assert record.version >= seen.get(record.id, 0)
                seen[record.id] = record.version

    def teardown(self):
        if self.net is None:
            return
        self.heal()
        for host in list(self.net.hosts.values()):
            if not host.up:
                self.net.start(host.name, ["m0", "m1", "m2"])
        healed = self.net.run(self.net.now + self.HEAL_TIME_US, self.net.views_agree)
        assert healed, {
            each.name: (each.member.join_state.stage, len(each.member.view))
            for each in self.net.running()
        }


class Properties(unittest.TestCase):
    def test_state_machine(self):
        run_state_machine_as_test(
            Faults,
            settings=settings(
                max_examples=40,
                stateful_step_count=12,
                deadline=None,
                derandomize=True,
                database=None,
                suppress_health_check=list(HealthCheck),
            ),
        )

    def test_every_short_sequence_of_faults(self):
        """All sequences of four steps of 1.6 s of a fleet of three, each with one of five faults.

        When the faults have ended, all views agree, and no member removed another one twice.
        """

        def cuts(*pairs):
            return lambda now, a, b: 1.0 if (a.name, b.name) in pairs else 0.0

        faults = (
            None,
            cuts(("m0", "m1")),
            cuts(("m1", "m0"), ("m2", "m0")),
            cuts(("m0", "m1"), ("m0", "m2")),
            "pause",
        )
        for steps in itertools.product(range(len(faults)), repeat=4):
            net = fleet(3, 1, joined=True, settle_us=SECOND)
            for step in steps:
                fault = faults[step]
                net.cut = fault if callable(fault) else None
                if fault == "pause":
                    net.pause("m0", 1_500_000)
                net.run(net.now + 1_600_000)
            net.cut = None
            self.assertTrue(net.run(net.now + 12 * SECOND, net.views_agree), steps)
            for name in net.hosts:
                by = [seen.by for seen in net.removals_of(name)]
                self.assertEqual(len(by), len(set(by)), (steps, name))

    @settings(max_examples=60, deadline=None, derandomize=True, database=None)
    @given(
        st.lists(
            st.tuples(
                st.integers(0, 2), st.integers(0, 6), st.sampled_from(Status), st.integers(0, 2)
            ),
            min_size=1,
            max_size=8,
        ),
        st.randoms(use_true_random=False),
    )
    def test_merging_in_any_order(self, given, chance):
        """The same records in any order, some of them twice, merge to the same view."""
        records = [
            MemberRecord(f"m{index}", version, status, "x", "z", incarnation)
            for index, version, status, incarnation in given
        ]
        views = []
        for _ in range(3):
            view = View(8)
            for record in records + records[:2]:
                view.merge(0, record)
            views.append((view.digest, sorted(view.rings.members), view.buckets))
            chance.shuffle(records)
        self.assertEqual(views[0], views[1])
        self.assertEqual(views[0], views[2])

    @settings(max_examples=150, deadline=None, derandomize=True, database=None)
    @given(MESSAGE)
    def test_messages_are_decoded_as_encoded(self, message):
        self.assertEqual(codec.unpack(codec.pack(message)), message)

    @settings(max_examples=300, deadline=None, derandomize=True, database=None)
    @given(st.binary(max_size=200))
    def test_any_bytes(self, data):
        """Decoding any bytes gives a message or raises `MalformedDatagramError`."""
        with contextlib.suppress(MalformedDatagramError):
            codec.unpack(data)

    @settings(max_examples=200, deadline=None, derandomize=True, database=None)
    @given(MESSAGE, st.integers(0, 10_000), st.integers(1, 255))
    def test_changed_bytes(self, message, at, by):
        data = bytearray(codec.pack(message))
        data[at % len(data)] ^= by
        with contextlib.suppress(MalformedDatagramError):
            codec.unpack(bytes(data))

    def test_later_release(self):
        """Elements that a later release appends to any array, and unknown updates, are ignored."""
        import msgspec

        record = ["m1", 5, 1, "a:1", "z", 9, "more"]
        data = [
            2,
            0,
            record,
            7,
            8,
            9,
            0,
            None,
            [[9, None, [1], "x"], [0, record, []]],
            [],
            [],
            5,
            b"",
            {"a": 1},
        ]
        ping = codec.unpack(msgspec.msgpack.encode(data))
        self.assertEqual((ping.seq, ping.digest, ping.lost), (7, 8, 9))
        self.assertEqual([update.name for update in ping.updates], ["m1"])

    def test_seal(self):
        """Datagrams with another key, another fleet or a changed byte do not verify.

        A datagram sealed with the old key verifies while a new key replaces it.
        """
        old, new = b"a" * 32, b"b" * 32
        data = Seal("f", (old,)).seal(b"hello")
        self.assertEqual(Seal("f", (new, old)).open(data), (b"hello", 1))
        for other in (Seal("f", (new,)), Seal("g", (old,))):
            self.assertIsNone(other.open(data))
        for at in range(len(data)):
            self.assertIsNone(
                Seal("f", (old,)).open(data[:at] + bytes([data[at] ^ 1]) + data[at + 1 :])
            )
        self.assertIsNone(Seal("f", (old,)).open(b""))
        for text in ("", "zz", "ab", f"{'ab' * 16}\n" * 3):
            with self.assertRaises(UnusableKeyError):
                parse_keys(text)

    def test_replay_window(self):
        """A repeated datagram and one with a count far behind the highest are not new.

        Within the window datagrams may arrive in any order.
        """
        window = ReplayWindow()
        self.assertEqual(
            [window.record_if_new(1, n) for n in (1, 3, 2, 2, 3, 2000, 976, 977, 1999, 1999)],
            [True, True, True, False, False, True, False, True, True, False],
        )
        chance, sent = random.Random(1), list(range(2001, 2500))
        chance.shuffle(sent)
        self.assertTrue(all(window.record_if_new(1, n) for n in sent))
        self.assertFalse(any(window.record_if_new(1, n) for n in sent))

    def test_start_version(self):
        """A start's version is above the stored and the known one, even if the clock went back."""
        self.assertGreater(start_version(0, persisted=start_version(1000)), start_version(1000))
        self.assertGreater(start_version(5, 0, start_version(1000) + 7), start_version(1000) + 7)
        self.assertEqual(member_id("m1"), member_id("m1"))


if __name__ == "__main__":
    unittest.main()
