"""Voters, candidates and what stands on them, without sockets.

Many seeds of loss, stalls, restarts and failing disks in the model's clock; the roll, the register
and the asking each by itself.
"""

import random
import unittest
from collections import Counter
from unittest import mock

from hypothesis import given, settings
from hypothesis import strategies as st

from gullyoke.emulator.duty import SECOND, Play
from gullyoke.extensions.duties import FleetLeases
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
    def test_through_anything(self):
        """At no event do two hold it, acts that the resource takes are one process's an epoch and
        in order, and once faults end somebody holds it within a lease and two seconds.
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
        """A holder that hears but is not heard, and one that is heard but hears nothing, loses it
        within a lease and its margin, the next has it two seconds later, and epochs grow by two at
        the most.
        """
        for way in ("out", "in"):
            with self.subTest(way):
                play = Play(3, voters=3, members=6)
                play.run(6 * SECOND)
                (old,) = play.holders()
                epochs, began = play.epochs(), play.now
                play.deaf.add((old, way))
                play.run(began + play.spans.lease_us)
                self.assertNotIn(old, play.holders())
                play.run(began + play.spans.lease_us + 2 * SECOND)
                self.assertEqual(len(play.holders()), 1)
                play.run(began + 60 * SECOND)
                self.assertLessEqual(play.epochs() - epochs, 2)
                self.assertEqual(play.most, 1)

    def test_handed_over(self):
        """Asked for, it passes within 200 ms and never is with two."""
        play = Play(5, voters=5, members=6)
        play.run(6 * SECOND)
        (old,) = play.holders()
        to = next(name for name in play.members if name != old)
        play.pass_to(old, to)
        began = play.now
        while to not in play.holders() and play.now < began + SECOND:
            play.run(play.now + 10_000)
        self.assertLess(play.now - began, 200_000)
        self.assertEqual(play.most, 1)

    def test_no_majority(self):
        """With two of three voters down nobody holds it after a lease.

        With one back somebody does.
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

    def test_disks(self):
        """A voter whose disk fails promises nothing new; the others go on.

        One whose folder is lost speaks only once it has learned, and no epoch is given out a second
        time.
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
        """From three voters to five and back, one at a time, under a lease that is held all along
        but for the moment of each change; never two.
        """
        play = Play(8, voters=3, members=7)
        play.run(6 * SECOND)
        for count in (4, 5, 4, 3):
            play.set_voters([f"m{i}" for i in range(count)])
            play.run(play.now + 2 * play.spans.lease_us + 4 * SECOND)
            self.assertEqual(len(play.holders()), 1, count)
        self.assertEqual((play.most, history.faults(play.acts)), (1, []))

    def test_another_set(self):
        """A word under another set of voters counts for nothing."""
        voter = Voter(0, "v", 1, ("w", "x"), LeaseDurations(), {}, 2)
        voter.silent_until_us = 0
        one = Candidate("d", "m", 5, ("v", "w", "x"), LeaseDurations(), float, 1)
        one.wants_lease = True
        (post, *_) = one.tick(0)
        said = voter.answer_pre_vote(0, post.message)
        self.assertEqual(
            (said.voter_set, one.handle_reply(0, said), one.granted_by), (2, [], set())
        )

    def test_next_set(self):
        """A running server takes over the next set of voters, one more or fewer, and nothing
        else.
        """
        three = {"a": "1:1", "b": "1:2", "c": "1:3"}
        part = FleetLeases(Dutied(three, 4, 10**6, 1000, "/f", False, False, False, False, ()))
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
                self.assertEqual(
                    part.is_next_voter_set(part.wanted._replace(voters=voters, set=number)), fits
                )
        part.wanted = part.wanted._replace(folder="")
        self.assertFalse(
            part.is_next_voter_set(part.wanted._replace(voters=three | {"d": "1:4"}, set=5))
        )


class Placing(unittest.TestCase):
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
        """The same for all, whatever order they see; who leaves is last.

        Who is first waits for nobody.
        """
        ranked = rank_candidates("d", members)
        self.assertEqual(ranked, rank_candidates("d", reversed(members)))
        leaving = [one.leaving for name in ranked for one in members if one.name == name]
        self.assertEqual(leaving, sorted(leaving))
        self.assertEqual(candidate_delay_us("d", ranked[0], members), 0)
        self.assertIsNone(candidate_delay_us("d", "nobody", members))

    def test_spread(self):
        """Many duties are not all one member's."""
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
        """What is taken never goes back, and each epoch is one process's."""
        fence, taken = Fence(), []
        for duty, epoch, life in acts:
            if fence.admits(duty, epoch, life):
                taken.append((duty, epoch, life))
        for duty in "ab":
            rows = [(epoch, life) for d, epoch, life in taken if d == duty]
            self.assertEqual([e for e, _ in rows], sorted(e for e, _ in rows))
            self.assertEqual(len({e for e, _ in rows}), len(set(rows)))

    def test_bad_histories(self):
        """The checker of histories finds what must not be, and nothing in what may."""

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


class Left(unittest.TestCase):
    @settings(max_examples=150, deadline=None, derandomize=True, database=None)
    @given(st.integers(0, 10**6))
    def test_register(self, seed):
        """Holders one after another, each cut off from some voters, and writes that come late.

        What a new one reads is the last that any before it was told is safe, or a later one.
        """
        chance = random.Random(seed)
        voters = {f"v{i}": RecordStore() for i in range(3)}
        late, safe, epoch = [], b"", 0

        def deliver(register, name, message):
            shelf = voters[name]
            if isinstance(message, ReadRecord):
                register.handle_read(shelf.read(message, name))
                return
            if shelf.accepts(message, promised.get(name, 0)):
                shelf.store(
                    message.duty, StoredRecord(message.epoch, message.write_number, message.body)
                )
            register.handle_written(shelf.acknowledge(message, name))

        promised: dict[str, int] = {}
        for holder in range(5):
            epoch += 1
            majority = chance.sample(sorted(voters), 2)
            promised.update(dict.fromkeys(majority, epoch))  # a lease was granted by these
            register = ReplicatedRecord("d", holder, epoch, voters)
            for step in range(chance.randrange(2, 8)):
                message = register.next_message()
                for name in voters:
                    if chance.random() < 0.7:
                        deliver(register, name, message)
                    else:
                        late.append((register, name, message))
                if late and chance.random() < 0.5:
                    deliver(*late.pop(chance.randrange(len(late))))
                if register.body is not None and step == 0 and holder:
                    self.assertGreaterEqual(register.body, safe)
                if register.committed:
                    safe = max(safe, register.body)
                    register.put(f"{holder:02}-{step:02}".encode())
        self.assertTrue(safe or epoch)


class Asks(unittest.TestCase):
    def test_a_dead_dependency(self):
        """It is taken for dead after a row of failures, asked by the holder twice a second, by
        others not while its word is young, and seldom by one that hears of none; when it is back
        all come back little by little.
        """
        one, chance = DependencyProbe(random.Random(1).random), random.Random(2)
        now = SILENCE_TO_DEAD_US
        for _ in range(5):
            self.assertTrue(one.allows_call(now))
            one.record_call(now, False)
        self.assertTrue(one.dead)
        one.record_announcement(now, 7, True)
        tries = sum(one.allows_call(now + t) for t in range(0, ANNOUNCEMENT_VALID_US, 50_000))
        self.assertEqual(tries, 0)
        begin = now + ANNOUNCEMENT_VALID_US
        tries = sum(one.allows_call(begin + t) for t in range(0, 20 * SECOND, 50_000))
        self.assertLessEqual(tries, 20 * SECOND // (LONE_PROBE_INTERVAL_US // 2))
        self.assertGreaterEqual(tries, 20 * SECOND // (2 * LONE_PROBE_INTERVAL_US))
        begin += 20 * SECOND
        one.set_lease_held(True)
        tries = sum(one.allows_call(begin + t) for t in range(0, 10 * SECOND, 50_000))
        self.assertAlmostEqual(tries, 10 * SECOND / HOLDER_PROBE_INTERVAL_US, delta=2)
        one.set_lease_held(False)
        begin += 10 * SECOND
        one.record_announcement(
            begin, 6, False
        )  # of an older epoch, or none since: 7 was before holding
        one.record_announcement(begin, 8, False)
        self.assertFalse(one.dead)
        first = sum(
            one.allows_call(begin + chance.randrange(SLOW_START_US // 10)) for _ in range(400)
        )
        self.assertLess(first, 100)
        self.assertTrue(all(one.allows_call(begin + SLOW_START_US + 1) for _ in range(50)))

    def test_an_old_word(self):
        one = DependencyProbe(random.Random(1).random)
        one.record_announcement(0, 5, True)
        one.dead = True
        one.record_announcement(1, 4, False)
        self.assertTrue(one.dead)
        one.record_announcement(2, 5, False)
        self.assertFalse(one.dead)


class Rolls(unittest.TestCase):
    def fleet(self, rows, shed=0.0):
        return roll.FleetState(
            tuple(
                roll.MemberState(name, zone, start, there, since, True)
                for name, (zone, start, there, since) in sorted(rows.items())
            ),
            shed,
        )

    @settings(max_examples=60, deadline=None, derandomize=True, database=None)
    @given(st.integers(0, 10**6))
    def test_all_once(self, seed):
        """Whoever conducts, and however often that changes.

        Each server is told to go once, never more at once than may be away, of the fleet and of a
        zone; at the end all have started anew.
        """
        chance = random.Random(seed)
        n, zones = chance.randrange(3, 14), chance.randrange(1, 4)
        at_once, a_zone = chance.choice((0.1, 0.3)), chance.choice((0.3, 0.5))
        rows = {f"m{i}": (f"z{i % zones}", 100 + i % 3, True, 0) for i in range(n)}
        behind = chance.choice(sorted(rows))  # its clock is behind: its new start is hardly later
        plan = roll.start(roll.RestartPlan(), self.fleet(rows), at_once, a_zone)
        now, gone, told, conductor = 0, {}, Counter(), "m0"
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
            if chance.random() < 0.1 or not rows[conductor][2]:
                conductor = chance.choice([name for name, row in rows.items() if row[2]])
                plan = roll.unpack_plan(plan.pack())  # what the last one left
            after = roll.step(plan, now, self.fleet(rows), conductor)
            for name, _, start in after.doing:
                if rows[name][1] == start and rows[name][2] and name not in gone:
                    told[name, start] += 1
                    gone[name] = now + chance.randrange(1, 5) * SECOND
                    rows[name] = (*rows[name][:2], False, now)
            plan = after
            away = [name for name, row in rows.items() if not row[2]]
            self.assertLessEqual(len(away), max(1, int(at_once * n)))
            for zone in {row[0] for row in rows.values()}:
                count = sum(row[0] == zone for row in rows.values())
                self.assertLessEqual(
                    sum(rows[name][0] == zone for name in away), max(1, int(a_zone * count))
                )
            if plan.state == "done":
                break
        self.assertEqual(plan.state, "done", plan)
        self.assertEqual(sorted(name for name, _ in told), sorted(rows))
        self.assertEqual(set(told.values()), {1})

    def test_stops_by_itself(self):
        """When the fleet sheds more, or one does not come back; paused and taken back as asked."""
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
