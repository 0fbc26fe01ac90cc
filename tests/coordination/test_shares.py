"""Shares: what is in force together is never above what there is, whatever happens.

And they follow need.
"""

import random
import unittest
from unittest import mock

from hypothesis import given, settings
from hypothesis import strategies as st

from gullyoke.coordination import quota_durations
from gullyoke.coordination.borrower import Borrower
from gullyoke.coordination.lender_tenure import LenderTenure, LenderVoter
from gullyoke.coordination.limit_parts import ConcurrencyPart
from gullyoke.coordination.max_min_fairness import Demand, fill_level, split_limit
from gullyoke.coordination.quota_participant import QuotaParticipant
from gullyoke.emulator.shares import SECOND, Play

TOKENS = 24


def troubled(seed, span=24):
    """A play with everything at once.

    Loss, messages up to 3 s late, pauses up to 9 s, ends and starts of homes and borrowers, double
    starts under a home's name, cuts. The most of one home's tokens that were in force.
    """
    chance = random.Random(seed)
    play = Play(
        seed,
        homes=chance.choice((1, 3, 3, 5)),
        others=3,
        tokens=TOKENS,
        loss=chance.choice((0, 0, 0.2)),
        slowest=chance.choice((5_000, 300_000, 3 * SECOND)),
    )
    for one in play.processes.values():
        one.need = 100
    play.run(12 * SECOND)
    doubles = 0
    for _ in range(span):
        play.run(play.now + chance.choice((1, 2, 5)) * SECOND)
        key = chance.choice(list(play.processes))
        process, what = play.processes[key], chance.randrange(7)
        if what == 0:
            process.paused = play.now + chance.randrange(9 * SECOND)
        elif what == 1:
            play.kill(key)
            play.start(key, process.home).need = 100  # at once, with nothing remembered
        elif what == 2 and doubles < 3:
            doubles += 1
            play.start(f"d{doubles}", chance.choice(play.homes)).need = 100
        elif what == 3:
            play.cut = {
                (chance.choice(list(play.processes)), chance.choice(play.homes)) for _ in range(5)
            }
        elif what == 4:
            play.cut = set()
        elif what == 5:
            process.need = chance.choice((0, 5, 100))
    return play.worst


def used(seed, span=24):
    """As above, with processes that make calls as their slots allow.

    The most that a dependency had in hand, and the limit.
    """
    chance = random.Random(seed)
    homes, floor = chance.choice((1, 3, 5)), chance.choice((0, 2))
    play = Play(
        seed,
        homes=homes,
        others=3,
        tokens=TOKENS,
        floor=floor,
        loss=chance.choice((0, 0.2)),
        slowest=chance.choice((5_000, 300_000)),
    )
    for one in play.processes.values():
        one.calls = chance.choice((2, 20, 60))
    play.run(12 * SECOND)
    for _ in range(span):
        play.run(play.now + chance.choice((1, 2, 5)) * SECOND)
        key = chance.choice(list(play.processes))
        process, what = play.processes[key], chance.randrange(5)
        if what == 0:
            process.paused = play.now + chance.randrange(9 * SECOND)
        elif what == 1:
            calls = process.calls
            play.kill(key)
            play.start(key, process.home).calls = calls
        elif what == 2:
            play.cut = {
                (chance.choice(list(play.processes)), chance.choice(play.homes)) for _ in range(5)
            }
        elif what == 3:
            play.cut = set()
        else:
            process.calls = chance.choice((1, 10, 60))
    return play.worst_below, homes * TOKENS + floor * len(play.processes)


class Shares(unittest.TestCase):
    def test_conserved(self):
        """Never more of one home's tokens than there are, at any event of any play.

        And not since nothing was lent.
        """
        worst = [troubled(seed) for seed in range(24)]
        self.assertLessEqual(max(worst), TOKENS)
        self.assertGreater(sum(one == TOKENS for one in worst), 12)

    def test_in_hand_below(self):
        """What the dependency has in hand never goes over the limit, through pauses, restarts, cuts
        and needs that swing; and without one of these it does: what is in use when a loan shrinks
        stays out, and a call ends with the loan it stands on.
        """
        plays = [used(seed) for seed in range(16)]
        self.assertTrue(all(most <= limit for most, limit in plays), plays)
        self.assertGreater(sum(most > 0.8 * limit for most, limit in plays), 8)

        def told_at_once(self, now, home, used):
            return back(self, now, home, 0)

        def any_time(self, now):
            return now + 60 * SECOND

        back = Borrower._return
        for what, guard in (
            ("in use stays out", mock.patch.object(Borrower, "_return", told_at_once)),
            ("ends with its loan", mock.patch.object(ConcurrencyPart, "secured_until", any_time)),
        ):
            for cut in (False, True):
                self.assertLessEqual(max(self.passed_on(seed, cut) for seed in range(4)), TOKENS)
            with self.subTest(what), guard:
                self.assertTrue(
                    any(
                        self.passed_on(seed, cut) > TOKENS
                        for seed in range(6)
                        for cut in (False, True)
                    )
                )

    def passed_on(self, seed, cut):
        """All is lent to one who uses it.

        Then another wants it, and the first wants less, or is cut off.
        """
        play = Play(seed, homes=1, others=2, tokens=TOKENS)
        play.processes["b0"].calls = 60
        play.run(16 * SECOND)
        if cut:
            play.cut = {("b0", "h0"), ("h0", "b0")}
        else:
            play.processes["b0"].calls = 1
        play.processes["b1"].calls = 60
        play.run(play.now + 12 * SECOND)
        return play.worst_below

    def twice(self, seed, restart=()):
        """h0 has lent all; then half of the borrowers take another process for h0, and the first is
        cut off from the voters, but not from its own borrowers; `restart` names voters that start
        anew then.
        """
        play = Play(seed, homes=3, others=4, tokens=TOKENS)
        play.processes["b0"].need = play.processes["b1"].need = 100
        play.run(20 * SECOND)
        play.processes["b2"].need = play.processes["b3"].need = 100
        play.start("d0", "h0")
        play.takes = {(key, "h0"): "d0" for key in ("b2", "b3")}
        play.cut = {(a, b) for a in ("h0",) for b in ("h1", "h2", "d0")} | {
            ("h1", "h0"),
            ("h2", "h0"),
        }
        play.cut |= {(key, "h0") for key in ("b2", "b3")} | {("h0", key) for key in ("b2", "b3")}
        for name in restart:
            play.kill(name)
            play.start(name, name)
        play.run(play.now + 2_500_000)
        if restart:
            play.cut |= {("b0", "h0"), ("b1", "h0")}  # they keep what they have to its end
        play.run(play.now + 12 * SECOND)
        return play.worst

    def again(self, seed):
        """h0 has lent to one, who is cut off then; h0 starts anew, and another asks."""
        play = Play(seed, homes=1, others=2, tokens=TOKENS)
        play.processes["b0"].need = 100
        play.run(16 * SECOND)
        play.cut = {("b0", "h0"), ("h0", "b0")}
        play.kill("h0")
        play.start("h0", "h0")
        play.processes["b1"].need = 100
        play.run(play.now + 14 * SECOND)
        return play.worst

    def test_names_and_starts(self):
        """Two processes for one home, voters that forget, a home that forgets.

        Nothing is lent twice, and each of these would be without its guard.
        """

        def early(self, now, after=0):
            return self.is_valid(now)

        def forgetful(self, now, name, homes):
            begun(self, now, name, homes)
            self.silent_until_us = now

        def any_number(self, now, promise):
            heard(self, now, promise)
            if (promise.lender, promise.incarnation) == (self.name, self.incarnation):
                self.since_us = self.since_us or now
                self.until_us = max(self.until_us, self.claimed_at_us + quota_durations.TENURE_US)

        begun, heard = LenderVoter.__init__, LenderTenure.handle_vote
        for what, play, guard in (
            (
                "waits out a loan",
                self.again,
                mock.patch.object(LenderTenure, "may_lend", early),
            ),
            ("a majority", self.twice, mock.patch.object(LenderTenure, "handle_vote", any_number)),
            (
                "a voter is mute",
                lambda seed: self.twice(seed, ("h1", "h2")),
                mock.patch.object(LenderVoter, "__init__", forgetful),
            ),
        ):
            with self.subTest(what):
                self.assertLessEqual(max(play(seed) for seed in range(6)), TOKENS)
                with guard:
                    self.assertTrue(any(play(seed) > TOKENS for seed in range(40)))

    def test_follows_need(self):
        """With no fault, what is wanted is lent within seconds, fairly where more is wanted than
        there is, and follows when the need moves; nobody who wants some is left with none.
        """
        play = Play(7, homes=3, others=3, tokens=40, floor=2)
        play.run(12 * SECOND)  # names are held, old loans waited out
        for key, need in (("b0", 30), ("b1", 200), ("b2", 200)):
            play.processes[key].need = need
        play.run(play.now + 25 * SECOND)
        has = {key: play.processes[key].lent() + 2 for key in ("b0", "b1", "b2")}
        self.assertGreaterEqual(sum(has.values()), 0.9 * 126)
        self.assertGreaterEqual(has["b0"], 24)
        self.assertLess(abs(has["b1"] - has["b2"]), 16)
        play.processes["b1"].need = 0
        play.processes["h0"].need = 100
        play.run(play.now + 25 * SECOND)
        self.assertLess(play.processes["b1"].lent(), 4)
        self.assertGreater(play.processes["h0"].lent(), 30)
        self.assertLessEqual(play.worst, 40)

    def test_a_home_that_ends(self):
        """Its tokens are nobody's for a while.

        Once a process is back at its address they are lent again, and the others' are lent all
        along.
        """
        play = Play(3, homes=3, others=2, tokens=20)
        for process in play.processes.values():
            process.need = 100
        play.run(20 * SECOND)
        self.assertGreaterEqual(play.lent(), 54)
        play.kill("h1")
        play.run(play.now + 10 * SECOND)
        self.assertLessEqual(play.lent(), 40)
        self.assertGreaterEqual(play.lent(), 34)
        play.start("h1", "h1").need = 100
        play.run(play.now + 25 * SECOND)
        self.assertGreaterEqual(play.lent(), 54)

    def test_a_name_that_is_no_home(self):
        with self.assertRaises(ValueError):
            QuotaParticipant(0, 1, ("h0", "h1"), 10, 1, "h2")

    def test_alone(self):
        """One that reaches nobody falls back to its floor within a loan's time, by its own clock
        alone.
        """
        play = Play(5, homes=3, others=1, tokens=20, floor=3)
        play.processes["b0"].need = 40
        play.run(20 * SECOND)
        self.assertGreater(play.processes["b0"].lent(), 20)
        play.cut = {("b0", home) for home in play.homes}
        play.run(play.now + quota_durations.QUOTA_LEASE_US + SECOND // 10)
        one = play.processes["b0"]
        self.assertEqual((one.lent(), one.borrower.in_force(one.now())), (0, 3))

    @settings(max_examples=200, deadline=None, derandomize=True, database=None)
    @given(
        st.integers(0, 200),
        st.lists(
            st.builds(Demand, st.integers(0, 100), st.integers(0, 60), st.floats(0.1, 10)),
            min_size=1,
            max_size=8,
        ),
    )
    def test_level(self, total, wishes):
        """All that there is, or is wanted, is given out.

        Who gets less than it wants has, for its weight and with what it holds elsewhere, as much as
        anybody who gets some.
        """
        found = fill_level(total, wishes)
        parts = [wish.part(found) for wish in wishes]
        self.assertTrue(
            all(0 <= part <= wish.want for part, wish in zip(parts, wishes, strict=True))
        )
        self.assertAlmostEqual(sum(parts), min(total, sum(wish.want for wish in wishes)), delta=0.1)
        has = [
            (part + wish.elsewhere) / wish.weight for part, wish in zip(parts, wishes, strict=True)
        ]
        short = [
            h for h, part, wish in zip(has, parts, wishes, strict=True) if part < wish.want - 1e-3
        ]
        some = [h for h, part in zip(has, parts, strict=True) if part > 1e-3]
        if short and some:
            self.assertGreaterEqual(min(short), max(some) - 0.01)

    def test_nobody_starves(self):
        """More borrowers than tokens at the homes.

        Each has one in turn, and who has some elsewhere does not get more before who has none.
        """
        play = Play(9, homes=3, others=18, tokens=4)
        for process in play.processes.values():
            process.need = 3
        play.run(12 * SECOND)
        had, most = set(), 0
        for _ in range(120):
            play.run(play.now + SECOND // 2)
            lent = {key: process.lent() for key, process in play.processes.items()}
            had |= {key for key, n in lent.items() if n}
            most = max(most, *lent.values())
        self.assertEqual(had, set(play.processes))
        self.assertLessEqual(most, 2)
        self.assertGreaterEqual(play.lent(), 9)

    def test_split(self):
        for limit, largest, homes in ((100, 12, "abc"), (7, 20, "abcde"), (1000, 200, "abcdefg")):
            floor, lend = split_limit(limit, largest, homes, 0.5)
            self.assertEqual(floor * largest + sum(lend.values()), limit)
            self.assertLessEqual(max(lend.values()) - min(lend.values()), 1)


if __name__ == "__main__":
    unittest.main()
