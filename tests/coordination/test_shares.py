"""Quota leases: tokens in force never exceed the limit, whatever fails, and follow the need."""

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


def run_with_faults(seed, span=24):
    """Run with message loss, messages up to 3 s late, pauses up to 9 s, ends and starts of lenders
    and borrowers, second processes under a lender's name, and broken links.

    Returns the most tokens of one lender that were in force.
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
            play.start(key, process.home).need = 100  # at once, without any state
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


def run_with_calls(seed, span=24):
    """Run with faults and with processes that make as many calls as they have slots for.

    Returns the most calls that ran at the dependency, and the limit.
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


class QuotaLeases(unittest.TestCase):
    def test_tokens_are_never_lent_twice(self):
        """At no event are more tokens of a lender in force than it has, although many runs reach
        that number.
        """
        worst = [run_with_faults(seed) for seed in range(24)]
        self.assertLessEqual(max(worst), TOKENS)
        self.assertGreater(sum(one == TOKENS for one in worst), 12)

    def test_calls_at_the_dependency(self):
        """Calls at the dependency never exceed the limit, through pauses, restarts, cut links and
        changing needs.

        Two guards see to it: tokens in use stay lent when a lease shrinks, and a call ends with the
        lease that it uses. Without either guard the limit is exceeded.
        """
        plays = [run_with_calls(seed) for seed in range(16)]
        self.assertTrue(all(most <= limit for most, limit in plays), plays)
        self.assertGreater(sum(most > 0.8 * limit for most, limit in plays), 8)

        def return_all(self, now, lender, used):
            return original_return(self, now, lender, 0)

        def any_time(self, now):
            return now + 60 * SECOND

        original_return = Borrower._return
        for what, guard in (
            ("tokens in use stay lent", mock.patch.object(Borrower, "_return", return_all)),
            (
                "a call ends with its lease",
                mock.patch.object(ConcurrencyPart, "secured_until", any_time),
            ),
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
        """Lend all tokens to one borrower that uses them; then another one needs them, and the
        first needs fewer or, with `cut`, is cut off.
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

    def two_lenders_of_one_name(self, seed, restart=()):
        """Let h0 lend all tokens; then half of the borrowers use another process as h0, and the
        first is cut off from the voters, but not from its own borrowers.

        `restart` names voters that then restart.
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
            play.cut |= {("b0", "h0"), ("b1", "h0")}  # they keep their leases to the end
        play.run(play.now + 12 * SECOND)
        return play.worst

    def restarted_lender(self, seed):
        """Let h0 lend to a borrower that is then cut off; h0 restarts, another borrower asks."""
        play = Play(seed, homes=1, others=2, tokens=TOKENS)
        play.processes["b0"].need = 100
        play.run(16 * SECOND)
        play.cut = {("b0", "h0"), ("h0", "b0")}
        play.kill("h0")
        play.start("h0", "h0")
        play.processes["b1"].need = 100
        play.run(play.now + 14 * SECOND)
        return play.worst

    def test_double_names_and_restarts(self):
        """No token is lent twice with two processes for one lender, or after a restart of voters or
        of a lender.

        Without the guard against each of these, some token is lent twice.
        """

        def lend_at_once(self, now, after=0):
            return self.is_valid(now)

        def vote_at_once(self, now, name, lenders):
            init(self, now, name, lenders)
            self.silent_until_us = now

        def accept_any_vote(self, now, vote):
            original_handle_vote(self, now, vote)
            if (vote.lender, vote.incarnation) == (self.name, self.incarnation):
                self.since_us = self.since_us or now
                self.until_us = max(self.until_us, self.claimed_at_us + quota_durations.TENURE_US)

        init, original_handle_vote = LenderVoter.__init__, LenderTenure.handle_vote
        for what, play, guard in (
            (
                "a new lender waits until earlier leases have ended",
                self.restarted_lender,
                mock.patch.object(LenderTenure, "may_lend", lend_at_once),
            ),
            (
                "a majority of votes",
                self.two_lenders_of_one_name,
                mock.patch.object(LenderTenure, "handle_vote", accept_any_vote),
            ),
            (
                "a restarted voter is silent",
                lambda seed: self.two_lenders_of_one_name(seed, ("h1", "h2")),
                mock.patch.object(LenderVoter, "__init__", vote_at_once),
            ),
        ):
            with self.subTest(what):
                self.assertLessEqual(max(play(seed) for seed in range(6)), TOKENS)
                with guard:
                    self.assertTrue(any(play(seed) > TOKENS for seed in range(40)))

    def test_leases_follow_the_need(self):
        """Without faults, needed tokens are lent within seconds, fairly if there are too few, and
        follow when the need moves.
        """
        play = Play(7, homes=3, others=3, tokens=40, floor=2)
        play.run(12 * SECOND)  # until the lenders hold their names and may lend
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

    def test_a_lender_that_ends(self):
        """Tokens of a lender that ended are not lent until a process is back under its name; those
        of the other lenders are lent all the time.
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

    def test_a_name_that_is_no_lender(self):
        with self.assertRaises(ValueError):
            QuotaParticipant(0, 1, ("h0", "h1"), 10, 1, "h2")

    def test_alone(self):
        """A borrower that reaches no lender falls back to its floor within the duration of a lease,
        by its own clock.
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
    def test_max_min_fairness(self, total, demands):
        """The whole total is divided, or as much as is wanted.

        A borrower that gets less than it wants has in all, relative to its weight, at least as much
        as any borrower that gets tokens.
        """
        level = fill_level(total, demands)
        shares = [demand.share_at(level) for demand in demands]
        self.assertTrue(
            all(0 <= share <= demand.want for share, demand in zip(shares, demands, strict=True))
        )
        self.assertAlmostEqual(
            sum(shares), min(total, sum(demand.want for demand in demands)), delta=0.1
        )
        levels = [
            (share + demand.elsewhere) / demand.weight
            for share, demand in zip(shares, demands, strict=True)
        ]
        unsatisfied = [
            own
            for own, share, demand in zip(levels, shares, demands, strict=True)
            if share < demand.want - 1e-3
        ]
        served = [own for own, share in zip(levels, shares, strict=True) if share > 1e-3]
        if unsatisfied and served:
            self.assertGreaterEqual(min(unsatisfied), max(served) - 0.01)

    def test_nobody_starves(self):
        """With more borrowers than tokens, each borrower gets one at times, and none has more than
        two at once.
        """
        play = Play(9, homes=3, others=18, tokens=4)
        for process in play.processes.values():
            process.need = 3
        play.run(12 * SECOND)
        served, most = set(), 0
        for _ in range(120):
            play.run(play.now + SECOND // 2)
            lent = {key: process.lent() for key, process in play.processes.items()}
            served |= {key for key, n in lent.items() if n}
            most = max(most, *lent.values())
        self.assertEqual(served, set(play.processes))
        self.assertLessEqual(most, 2)
        self.assertGreaterEqual(play.lent(), 9)

    def test_split(self):
        for limit, largest, lenders in ((100, 12, "abc"), (7, 20, "abcde"), (1000, 200, "abcdefg")):
            floor, tokens = split_limit(limit, largest, lenders, 0.5)
            self.assertEqual(floor * largest + sum(tokens.values()), limit)
            self.assertLessEqual(max(tokens.values()) - min(tokens.values()), 1)


if __name__ == "__main__":
    unittest.main()
