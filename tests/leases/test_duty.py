"""Leases without sockets: voters, candidates, fences and what holders do.

Runs with many seeds of message loss, pauses, restarts and failing disks in simulated time; rolling
restarts, the replicated record and the probing of a dependency are each tested alone.
"""

import random
import unittest
from collections import Counter
from unittest import mock

from hypothesis import given, settings
from hypothesis import strategies as st

from gullyoke.emulator.duty import SECOND, Play
from gullyoke.extensions.duties import Duty
from gullyoke.fault_testing import history
from gullyoke.fault_testing.standins import Act
from gullyoke.leases import rolling_restart as roll
from gullyoke.leases.candidate import Candidate
from gullyoke.leases.candidate_rank import CandidatePlacement, candidate_delay_us, rank_candidates
from gullyoke.leases.dependency_probe import (
    ANNOUNCEMENT_VALID_US,
    HOLDER_PROBE_INTERVAL_US,
    LONE_PROBE_INTERVAL_US,
    SILENCE_TO_DEAD_US,
    SLOW_START_US,
    DependencyProbe,
)
from gullyoke.leases.durations import LeaseDurations
from gullyoke.leases.fence import Fence
from gullyoke.leases.replicated_record import (
    ReadRecord,
    RecordStore,
    ReplicatedRecord,
    StoredRecord,
)
from gullyoke.leases.voter import Voter
from gullyoke.operator_config.wanted import Dutied


class Leases(unittest.TestCase):
    def test_faults(self):
        """At no event do two processes hold the lease, and the resource accepts operations of one
        process per epoch, in the order of epochs. After the faults end, a process holds the lease
        within its duration and seven seconds.
        """
        for seed in range(12):
            with self.subTest(seed):
                play = Play(seed, voters=3 + 2 * (seed % 2), members=7)
                play.run(6 * SECOND)
                self.assertEqual(len(play.holders()), 1)
                play.trouble(40 * SECOND)
                self.assertEqual(play.most, 1)
                self.assertEqual(history.faults(play.acts), [])
                play.heal()
                play.run(play.now + play.spans.lease_us + 7 * SECOND)
                self.assertEqual(len(play.holders()), 1)

    def test_one_sided(self):
        """A holder that can only receive or only send loses the lease within its duration; another
        process holds it at most two seconds later, and the epoch grows by at most two.
        """
        for way in ("out", "in"):
            with self.subTest(way):
                play = Play(3, voters=3, members=6)
                play.run(6 * SECOND)
                (old,) = play.holders()
                epochs, start = play.epochs(), play.now
                play.deaf.add((old, way))
                play.run(start + play.spans.lease_us)
                self.assertNotIn(old, play.holders())
                play.run(start + play.spans.lease_us + 2 * SECOND)
                self.assertEqual(len(play.holders()), 1)
                play.run(start + 60 * SECOND)
                self.assertLessEqual(play.epochs() - epochs, 2)
                self.assertEqual(play.most, 1)

    def test_handover(self):
        """A requested handover takes less than 200 ms, and two processes never hold the lease."""
        play = Play(5, voters=5, members=6)
        play.run(6 * SECOND)
        (old,) = play.holders()
        to = next(name for name in play.members if name != old)
        play.pass_to(old, to)
        start = play.now
        while to not in play.holders() and play.now < start + SECOND:
            play.run(play.now + 10_000)
        self.assertLess(play.now - start, 200_000)
        self.assertEqual(play.most, 1)

    def test_no_majority(self):
        """With two of three voters down, nobody holds the lease once its duration has passed.

        After one voter is back, some process holds it.
        """
        play = Play(6, voters=3, members=5)
        play.run(6 * SECOND)
        for name in ("m0", "m1"):
            play.kill(name)
        play.run(play.now + play.spans.lease_us + SECOND)
        self.assertEqual(play.holders(), [])
        play.start("m0")
        play.run(play.now + 2 * play.spans.lease_us + 3 * SECOND)
        self.assertEqual(len(play.holders()), 1)

    def test_failed_and_lost_disks(self):
        """A voter whose disk fails grants nothing new; the others continue.

        A voter that lost its folder votes only after it has recovered the promises, and no epoch is
        granted twice.
        """
        play = Play(7, voters=3, members=5)
        play.run(6 * SECOND)
        play.ill.add("m1")
        (old,) = play.holders()
        play.kill(old)
        play.run(play.now + play.spans.lease_us + 3 * SECOND)
        self.assertEqual(len(play.holders()), 0 if old in ("m0", "m2") else 1)
        play.ill.clear()
        play.start(old)
        play.run(play.now + 2 * play.spans.lease_us + 4 * SECOND)
        self.assertEqual(len(play.holders()), 1)
        play.wipe("m0")
        self.assertFalse(play.voters["m0"].may_vote(play.time("m0")))
        play.run(play.now + 2 * play.spans.lease_us + 2 * SECOND)
        self.assertTrue(play.voters["m0"].may_vote(play.time("m0")))
        self.assertEqual((play.most, history.faults(play.acts)), (1, []))

    def test_voters_one_by_one(self):
        """The set of voters changes from three to five and back, one voter at a time; the lease is
        held after each change, and never by two processes.
        """
        play = Play(8, voters=3, members=7)
        play.run(6 * SECOND)
        for count in (4, 5, 4, 3):
            play.set_voters([f"m{i}" for i in range(count)])
            play.run(play.now + 2 * play.spans.lease_us + 4 * SECOND)
            self.assertEqual(len(play.holders()), 1, count)
        self.assertEqual((play.most, history.faults(play.acts)), (1, []))

    def test_other_voter_set(self):
        """A reply under another set of voters is not counted."""
        voter = Voter(0, "v", 1, ("w", "x"), LeaseDurations(), {}, 2)
        voter.silent_until_us = 0
        one = Candidate("d", "m", 5, ("v", "w", "x"), LeaseDurations(), float, 1)
        one.wants_lease = True
        (addressed, *_) = one.tick(0)
        reply = voter.answer_pre_vote(0, addressed.message)
        self.assertEqual(
            (reply.voter_set, one.handle_reply(0, reply), one.granted_by), (2, [], set())
        )

    def test_next_voter_set(self):
        """A running server switches only to the next set of voters, with at most one voter added or
        removed.
        """
        three = {"a": "1:1", "b": "1:2", "c": "1:3"}
        part = Duty(Dutied(three, 4, 10**6, 1000, "/f", False, False, False, False, ()))
        part.fleet = mock.Mock()
        part.fleet.daemon.configuration.name = "b"
        for voters, number, fits in (
            (three | {"d": "1:4"}, 5, True),
            ({"a": "1:1", "b": "1:2"}, 5, True),
            (three | {"d": "1:4"}, 6, False),
            (three, 4, False),
            (three, 3, False),
            (three | {"d": "1:4", "e": "1:5"}, 5, False),
            ({"a": "1:1", "b": "1:2", "d": "1:4"}, 5, False),
            (three | {"c": "1:9"}, 5, False),
            (three, 5, True),
        ):
            with self.subTest(voters=voters, number=number):
                self.assertEqual(part.fits(part.wanted._replace(voters=voters, set=number)), fits)
        part.wanted = part.wanted._replace(folder="")
        self.assertFalse(part.fits(part.wanted._replace(voters=three | {"d": "1:4"}, set=5)))


class CandidateRanks(unittest.TestCase):
    @settings(max_examples=100, deadline=None, derandomize=True, database=None)
    @given(
        st.lists(
            st.builds(
                CandidatePlacement,
                st.sampled_from([f"m{i}" for i in range(9)]),
                st.booleans(),
                st.booleans(),
                st.booleans(),
                st.floats(0, 1),
                st.booleans(),
            ),
            unique_by=lambda one: one.name,
            min_size=1,
        )
    )
    def test_order(self, members):
        """The order does not depend on the order of the input, members that leave are last, and the
        first member does not wait.
        """
        ranked = rank_candidates("d", members)
        self.assertEqual(ranked, rank_candidates("d", reversed(members)))
        leaving = [one.leaving for name in ranked for one in members if one.name == name]
        self.assertEqual(leaving, sorted(leaving))
        self.assertEqual(candidate_delay_us("d", ranked[0], members), 0)
        self.assertIsNone(candidate_delay_us("d", "nobody", members))

    def test_leases_are_spread(self):
        """Many leases do not all rank the same member first."""
        members = [CandidatePlacement(f"m{i}") for i in range(10)]
        first = Counter(rank_candidates(f"d{i}", members)[0] for i in range(60))
        self.assertGreaterEqual(len(first), 8)
        self.assertLessEqual(max(first.values()), 18)


class Fences(unittest.TestCase):
    @settings(max_examples=200, deadline=None, derandomize=True, database=None)
    @given(
        st.lists(
            st.tuples(st.sampled_from("ab"), st.integers(1, 5), st.integers(1, 3)), max_size=30
        )
    )
    def test_fence(self, acts):
        """Epochs of admitted operations never decrease, and each epoch is of one process."""
        fence, admitted = Fence(), []
        for duty, epoch, incarnation in acts:
            if fence.admit(duty, epoch, incarnation):
                admitted.append((duty, epoch, incarnation))
        for duty in "ab":
            rows = [(epoch, incarnation) for d, epoch, incarnation in admitted if d == duty]
            self.assertEqual([e for e, _ in rows], sorted(e for e, _ in rows))
            self.assertEqual(len({e for e, _ in rows}), len(set(rows)))

    def test_bad_histories(self):
        """The checker of histories reports violations, and nothing for a valid history."""

        def acts(*rows):
            return [Act(float(i), float(i), "d", *row) for i, row in enumerate(rows)]

        good = acts((1, "a", True), (1, "a", True), (2, "b", True), (1, "a", False), (2, "b", True))
        self.assertEqual(history.faults(good), [])
        back = acts((1, "a", True), (2, "b", True), (1, "a", True))
        self.assertIn("after one of 2", history.faults(back)[0])
        self.assertIn("two processes", history.faults(acts((1, "a", True), (1, "b", True)))[0])
        self.assertEqual(history.gaps(good, "d"), [1.0])
        self.assertAlmostEqual(
            history.held_share(good, "d", 0, 4, 0.2), 1 - (0.4 + 0.4 + 1.4) / 4, places=6
        )


class ReplicatedRecords(unittest.TestCase):
    @settings(max_examples=150, deadline=None, derandomize=True, database=None)
    @given(st.integers(0, 10**6))
    def test_new_holder_reads_the_last_committed_record(self, seed):
        """Holders follow one another, each cut off from some voters, with writes that arrive late.

        A new holder reads the last record that an earlier one saw committed, or a later one.
        """
        chance = random.Random(seed)
        voters = {f"v{i}": RecordStore() for i in range(3)}
        late, last_committed, epoch = [], b"", 0

        def deliver(record, name, message):
            record_store = voters[name]
            if isinstance(message, ReadRecord):
                record.handle_read(record_store.read(message, name))
                return
            if record_store.accepts(message, promised.get(name, 0)):
                record_store.store(
                    message.duty, StoredRecord(message.epoch, message.write_number, message.body)
                )
            record.handle_written(record_store.acknowledge(message, name))

        promised: dict[str, int] = {}
        for holder in range(5):
            epoch += 1
            majority = chance.sample(sorted(voters), 2)
            promised.update(dict.fromkeys(majority, epoch))  # the voters that granted the lease
            record = ReplicatedRecord("d", holder, epoch, voters)
            for step in range(chance.randrange(2, 8)):
                message = record.next_message()
                for name in voters:
                    if chance.random() < 0.7:
                        deliver(record, name, message)
                    else:
                        late.append((record, name, message))
                if late and chance.random() < 0.5:
                    deliver(*late.pop(chance.randrange(len(late))))
                if record.body is not None and step == 0 and holder:
                    self.assertGreaterEqual(record.body, last_committed)
                if record.committed:
                    last_committed = max(last_committed, record.body)
                    record.put(f"{holder:02}-{step:02}".encode())
        self.assertTrue(last_committed or epoch)


class DependencyProbes(unittest.TestCase):
    def test_a_dead_dependency(self):
        """After several failures in a row the dependency counts as dead. The holder probes it twice
        a second; other servers send nothing while the holder's announcement is valid, and probe at
        a lower rate without one. When the dependency is back, calls increase gradually.
        """
        one, chance = DependencyProbe(random.Random(1).random), random.Random(2)
        now = SILENCE_TO_DEAD_US
        for _ in range(5):
            self.assertTrue(one.admit_call(now))
            one.record_call(now, False)
        self.assertTrue(one.dead)
        one.record_announcement(now, 7, True)
        probes = sum(one.admit_call(now + t) for t in range(0, ANNOUNCEMENT_VALID_US, 50_000))
        self.assertEqual(probes, 0)
        begin = now + ANNOUNCEMENT_VALID_US
        probes = sum(one.admit_call(begin + t) for t in range(0, 20 * SECOND, 50_000))
        self.assertLessEqual(probes, 20 * SECOND // (LONE_PROBE_INTERVAL_US // 2))
        self.assertGreaterEqual(probes, 20 * SECOND // (2 * LONE_PROBE_INTERVAL_US))
        begin += 20 * SECOND
        one.set_is_holder(True)
        probes = sum(one.admit_call(begin + t) for t in range(0, 10 * SECOND, 50_000))
        self.assertAlmostEqual(probes, 10 * SECOND / HOLDER_PROBE_INTERVAL_US, delta=2)
        one.set_is_holder(False)
        begin += 10 * SECOND
        # The announcement of epoch 7 was dropped when the server became the holder.
        one.record_announcement(begin, 6, False)
        one.record_announcement(begin, 8, False)
        self.assertFalse(one.dead)
        first = sum(
            one.admit_call(begin + chance.randrange(SLOW_START_US // 10)) for _ in range(400)
        )
        self.assertLess(first, 100)
        self.assertTrue(all(one.admit_call(begin + SLOW_START_US + 1) for _ in range(50)))

    def test_an_outdated_announcement(self):
        one = DependencyProbe(random.Random(1).random)
        one.record_announcement(0, 5, True)
        one.dead = True
        one.record_announcement(1, 4, False)
        self.assertTrue(one.dead)
        one.record_announcement(2, 5, False)
        self.assertFalse(one.dead)


class RollingRestarts(unittest.TestCase):
    def fleet(self, rows, rejected_share=0.0):
        return roll.FleetState(
            tuple(
                roll.MemberState(name, zone, start, present, since, True)
                for name, (zone, start, present, since) in sorted(rows.items())
            ),
            rejected_share,
        )

    @settings(max_examples=60, deadline=None, derandomize=True, database=None)
    @given(st.integers(0, 10**6))
    def test_each_server_restarts_once(self, seed):
        """However often the coordinator changes, each server is instructed to restart once, and no
        more servers of the fleet or of a zone are unavailable than allowed; in the end all have
        restarted.
        """
        chance = random.Random(seed)
        n, zones = chance.randrange(3, 14), chance.randrange(1, 4)
        at_once, a_zone = chance.choice((0.1, 0.3)), chance.choice((0.3, 0.5))
        rows = {f"m{i}": (f"z{i % zones}", 100 + i % 3, True, 0) for i in range(n)}
        behind = chance.choice(sorted(rows))  # its clock is behind: its new start is a second later
        plan = roll.start(roll.RestartPlan(), self.fleet(rows), at_once, a_zone)
        now, gone, instructed, coordinator = 0, {}, Counter(), "m0"
        for _ in range(4000):
            now += 300_000
            for name, until in list(gone.items()):
                if now >= until:
                    zone, start, *_ = rows[name]
                    rows[name] = (
                        zone,
                        start + 1 if name == behind else 500 + now // SECOND,
                        True,
                        now,
                    )
                    del gone[name]
            if chance.random() < 0.1 or not rows[coordinator][2]:
                coordinator = chance.choice([name for name, row in rows.items() if row[2]])
                plan = roll.unpack_plan(plan.pack())  # the plan as the last coordinator stored it
            after = roll.step(plan, now, self.fleet(rows), coordinator)
            for name, _, start in after.doing:
                if rows[name][1] == start and rows[name][2] and name not in gone:
                    instructed[name, start] += 1
                    gone[name] = now + chance.randrange(1, 5) * SECOND
                    rows[name] = (*rows[name][:2], False, now)
            plan = after
            unavailable = [name for name, row in rows.items() if not row[2]]
            self.assertLessEqual(len(unavailable), max(1, int(at_once * n)))
            for zone in {row[0] for row in rows.values()}:
                count = sum(row[0] == zone for row in rows.values())
                self.assertLessEqual(
                    sum(rows[name][0] == zone for name in unavailable),
                    max(1, int(a_zone * count)),
                )
            if plan.state == "done":
                break
        self.assertEqual(plan.state, "done", plan)
        self.assertEqual(sorted(name for name, _ in instructed), sorted(rows))
        self.assertEqual(set(instructed.values()), {1})

    def test_stops_by_itself(self):
        """A restart stops when the fleet rejects more or a server does not come back; operators may
        pause, resume and cancel it.
        """
        rows = {f"m{i}": ("z", 100, True, 0) for i in range(5)}
        plan = roll.start(roll.RestartPlan(), self.fleet(rows, 0.1), 0.4, 1.0)
        self.assertEqual(roll.step(plan, 1, self.fleet(rows, 0.3), "m0").state, "stopped")
        going = roll.step(plan, 1, self.fleet(rows, 0.1), "m0")
        self.assertEqual([name for name, *_ in going.doing], ["m1", "m2"])
        late = roll.step(going, 1 + roll.RETURN_TIMEOUT_US + 1, self.fleet(rows, 0.1), "m0")
        self.assertEqual((late.state, "m1" in late.why), ("stopped", True))
        again = roll.resume(late, 10**9, self.fleet(rows, 0.2))
        self.assertEqual(roll.step(again, 10**9 + 1, self.fleet(rows, 0.2), "m0").state, "going")
        paused = roll.pause(going, "asked for")
        self.assertEqual(roll.step(paused, 5, self.fleet(rows, 0.9), "m0"), paused)
        with self.assertRaises(ValueError):
            roll.start(paused, self.fleet(rows), 0.1, 0.5)
        self.assertEqual(roll.cancel(paused, "x").state, "cancelled")
        self.assertEqual(roll.start(roll.cancel(paused, "x"), self.fleet(rows), 0.1, 0.5).number, 2)
        with self.assertRaises(ValueError):
            roll.unpack_plan(b'{"state": "flying", "doing": [], "strays": []}')
        self.assertLessEqual(len(going.pack()), 700)


if __name__ == "__main__":
    unittest.main()
