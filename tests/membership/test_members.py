"""The scenarios of membership in simulated time.

Each safeguard is shown to matter by a scenario that fails without it.
"""

import contextlib
import pathlib
import re
import unittest
from unittest import mock

from gullyoke.emulator.peers import SECOND, fleet
from gullyoke.membership import local_health, monitor_edge, probing, suspicion_tally
from gullyoke.membership.member_record import member_id

HERE = pathlib.Path(__file__).parent


def names(net, text):
    """`m1`, `m1..m4`, `zone z1`, `all` or `rest` (all who are up and were never named before)."""
    found = []
    for part in text.split(","):
        if part == "all":
            found += [h.name for h in net.running()]
        elif part.startswith("z"):
            found += [h.name for h in net.hosts.values() if h.zone == part]
        elif span := re.fullmatch(r"m(\d+)\.\.m(\d+)", part):
            found += [f"m{i}" for i in range(int(span[1]), int(span[2]) + 1)]
        else:
            found.append(part)
    return found


class Play:
    """One scenario under one seed; tests/README.md has the notation."""

    def __init__(self, seed):
        self.seed = seed
        self.net = None
        self.cuts = []

    def line(self, words):
        verb, rest = words[0], words[1:]
        getattr(self, f"at_{verb}")(*rest)

    def at_fleet(self, size, *given):
        options = dict(option.split("=", 1) for option in given)
        parameters = {"loss": "loss", "doubled": "duplicated"}
        network = {name: float(options[key]) for key, name in parameters.items() if key in options}
        if "delay" in options:
            network["delay_us"] = tuple(int(ms) * 1000 for ms in options["delay"].split(".."))
        joined = "joined" in options
        zones = int(options.get("zones", 3))
        self.net = fleet(int(size), self.seed, zones, joined=joined, **network)
        self.net.cut = self.lost
        if not joined:
            assert self.net.views_agree(), "the fleet never came together"

    def lost(self, now, a, b):
        return max(
            (share for from_, to, share in self.cuts if a.name in from_ and b.name in to),
            default=0.0,
        )

    def at_cut(self, from_, arrow, to, share="1.0"):
        """`cut A -> B [SHARE]` one way, `cut A <> B` both."""
        one, other = set(names(self.net, from_)), set(names(self.net, to))
        if to == "rest":
            other = set(self.net.hosts) - one
        self.cuts.append((one, other, float(share)))
        if arrow == "<>":
            self.cuts.append((other, one, float(share)))

    def at_heal(self):
        self.cuts.clear()

    def at_kill(self, who):
        for name in names(self.net, who):
            self.net.kill(name)

    def at_drop(self, who):
        """The machine fails too: nothing reports that nobody listens."""
        for name in names(self.net, who):
            self.net.kill(name, refuses=False)

    def at_pause(self, who, span):
        for name in names(self.net, who):
            self.net.pause(name, int(float(span) * SECOND))

    def at_leave(self, who):
        for name in names(self.net, who):
            self.net.leave(name)

    def at_start(self, who, *given):
        """Starts, or starts again.

        `seeds=`, `behind=` seconds of a clock that went back, `as=` a name.
        """
        options = dict(option.split("=", 1) for option in given)
        seeds = options.get("seeds", "m0,m1,m2").split(",")
        for name in names(self.net, who):
            self.net.start(
                options.get("as", name),
                seeds,
                options.get("zone", "z0"),
                behind=int(options.get("behind", 0)),
                address=name,
                host=name,
            )

    def at_play(self, span):
        self.net.run(self.net.now + int(float(span) * SECOND))

    # What must be so.

    def at_within(self, span, verb, *rest):
        """`within 5 gone m1`, `within 5 equal`, `within 3 stage m1 out`, `within 4 sees m0 m1
        unreachable`.
        """
        asks = {
            "gone": self.departed,
            "equal": self.net.views_agree,
            "stage": self.stage,
            "sees": self.sees,
            "holds": self.holds,
        }
        began = self.net.now
        ok = self.net.run(began + int(float(span) * SECOND), lambda: asks[verb](*rest))
        assert ok, f"not within {span} s: {verb} {' '.join(rest)}"

    def departed(self, who):
        departed = {member_id(name) for name in names(self.net, who)}
        return not any(
            departed & host.member.view.records.keys()
            for host in self.net.running()
            if member_id(host.name) not in departed
        )

    def stage(self, who, wanted):
        return all(
            self.net.hosts[name].member.join_state.stage.value == wanted
            for name in names(self.net, who)
        )

    def sees(self, by, who, state):
        one = self.net.hosts[by].member
        found = [
            one.state(self.net.now, one.view.records[member_id(name)]) == state
            for name in names(self.net, who)
        ]
        return sum(found) >= 0.75 * len(found)  # it does not know of all of them yet

    def holds(self, by, who):
        """Whether this process is the one that all others have in their views under a name."""
        incarnation = self.net.hosts[by].member.record.incarnation
        return all(
            h.member.view.records.get(member_id(who)) is not None
            and h.member.view.records[member_id(who)].incarnation == incarnation
            for h in self.net.running()
            if h.name != who
        )

    def at_removed(self, *who):
        """Exactly these were ever removed by anybody; `removed none`."""
        found = {s.change.record.name for s in self.net.changes if s.change.kind == "removed"}
        wanted = set() if who == ("none",) else {name for x in who for name in names(self.net, x)}
        assert found == wanted, f"removed {sorted(found)}"

    def at_once(self, who):
        """Nobody's view removed any of these more than once."""
        for name in names(self.net, who):
            by = [s.by for s in self.net.removals_of(name)]
            assert len(by) == len(set(by)), f"{name} removed more than once"

    def at_size(self, by, members, *usable):
        """What the fleet's size in force is there, where 100 is configured."""
        got = self.net.hosts[by].member.size(self.net.now)
        assert got.in_force(100) == int(members), f"{got}"

    def at_sent(self, most):
        """Messages a second that a member sent since the fleet came together, the mean."""
        up = self.net.running()
        rate = sum(h.sent for h in up) / len(up) / (self.net.now / 1e6)
        assert rate <= float(most), f"{rate:.1f} messages a second"

    def at_numbers(self, who):
        """A member's version is not below any that was ever known under its name."""
        for name in names(self.net, who):
            most = max(
                s.change.record.version for s in self.net.changes if s.change.record.name == name
            )
            assert self.net.hosts[name].member.record.version >= most


def play(path, seed):
    scene = Play(seed)
    for number, line in enumerate(path.read_text().splitlines(), 1):
        line = line.partition("#")[0].split()
        if line and line[0] != "seeds":
            try:
                scene.line(line)
            except AssertionError as fault:
                raise AssertionError(f"{path.stem}:{number}, seed {seed}: {fault}") from None


def seeds(path):
    first = path.read_text().splitlines()[0].split()
    return range(int(first[1]) if first[0] == "seeds" else 3)


class Members(unittest.TestCase):
    def test_scenarios(self):
        paths = sorted(HERE.glob("*.txt"))
        self.assertTrue(paths)
        for path in paths:
            with self.subTest(path.stem):
                for seed in seeds(path):
                    play(path, seed)

    def test_guards(self):
        """Each of these scenarios fails where its guard is taken out.

        Guards against tests that pass whatever the rule says. Where another guard covers the same
        ground that one is out in both plays, so that what is shown is this one alone.
        """

        def without(where, **names):
            return mock.patch.multiple(where, **names)

        nothing = mock.Mock(return_value=False)
        for name, guard, covering in (
            ("pauses", without(suspicion_tally, REMOVAL_DELAY_US=0), ()),
            (
                "pair",
                without(suspicion_tally, ACCUSING_SHARE=0.1, MIN_ACCUSERS=1),
                (without(probing, HELPERS=0),),
            ),
            (
                "halves",
                without(local_health.LocalHealth, sees_most=mock.Mock(return_value=True)),
                (),
            ),
            (
                "clock-back",
                without(
                    "gullyoke.membership.join_state",
                    start_version=lambda _, persisted=0, known=0: persisted,
                ),
                (),
            ),
            ("deaf3", without(local_health.LocalHealth, unsure=nothing), ()),
            ("half-deaf", without("gullyoke.membership.join_state", MAX_FAILING_SHARE=1.1), ()),
            (
                "loss",
                without(monitor_edge, SILENT_AFTER_US=100_000, SILENT_AFTER_PROBES=1),
                (without(suspicion_tally, REMOVAL_DELAY_US=0),),
            ),
        ):
            with self.subTest(name), contextlib.ExitStack() as stack:
                for one in covering:
                    stack.enter_context(one)
                play(HERE / f"{name}.txt", 0)
                stack.enter_context(guard)
                with self.assertRaises(AssertionError):
                    for seed in range(8):
                        play(HERE / f"{name}.txt", seed)

    def test_own_pause(self):
        """A member that resumes after a pause probes before it accuses.

        What went unanswered during the pause does not count. Here an answer was overdue before it,
        through loss that ended during the pause.
        """

        def accused(guard):
            with contextlib.ExitStack() as stack:
                if not guard:
                    stack.enter_context(
                        mock.patch.object(local_health.LocalHealth, "paused", lambda *_: False)
                    )
                net = fleet(3, 4, joined=True)
                net.cut = lambda now, a, b: 1.0
                net.run(net.now + 1_450_000)
                net.pause("m0", SECOND)
                net.cut = None
                net.run(net.now + SECOND + 50_000)
                return len(net.hosts["m0"].member.removal.report.suspicions)

        self.assertEqual((accused(True), accused(False) > 0), (0, True))

    def test_refutation(self):
        """A suspicion that outlives its cause is refuted by the suspect.

        Without that, members that do not receive the later report would go on counting it.
        """

        def play_with(refutes):
            with contextlib.ExitStack() as stack:
                if not refutes:
                    stack.enter_context(
                        mock.patch(
                            "gullyoke.membership.join_state.JoinState.should_refute",
                            lambda *_: False,
                        )
                    )
                net = fleet(5, 1)
                accused = net.hosts["m1"].member
                before = accused.record.version
                net.pause("m1", 2 * SECOND)
                net.run(net.now + 6 * SECOND)
                return accused.record.version - before, len(net.removals_of("m1"))

        refuted, removed = play_with(True)
        self.assertEqual((refuted >= 1, removed), (True, 0))
        self.assertEqual(play_with(False)[0], 0)

    def test_no_seed_listens(self):
        """A member whose seeds do not exist stays alone, and its stage shows it.

        It sends a bounded number of messages.
        """
        net = fleet(1, 3)
        net.start("lone", ["nowhere1", "nowhere2", "nowhere3"])
        net.run(net.now + 60 * SECOND)
        lone = net.hosts["lone"]
        self.assertEqual((lone.member.join_state.stage.value, len(lone.member.view)), ("alone", 1))
        self.assertLess(lone.sent, 100)
        self.assertEqual(lone.member.size(net.now).in_force(12), 12)

    def test_same_events_same_actions(self):
        """Two simulations with one seed send the same messages."""

        def once():
            net = fleet(9, 5, loss=0.2)
            net.pause("m3", 2 * SECOND)
            net.kill("m5")
            net.run(net.now + 8 * SECOND)
            return [(s.at_us, s.by, s.change.kind, s.change.record.digest) for s in net.changes], [
                h.sent for h in net.hosts.values()
            ]

        self.assertEqual(once(), once())

    def test_bounds(self):
        """Every datagram that a member sends in a fleet of 60 fits, joining, a third lost,
        healing.
        """
        from gullyoke.emulator.peers import datagram_bytes

        net = fleet(60, 2, joined=True)
        worst = 0
        plain = net._send_outgoing

        def weighed(host):
            nonlocal worst
            for send in host.member.dissemination.outgoing:
                worst = max(worst, datagram_bytes(send.message))
            plain(host)

        net._send_outgoing = weighed
        left = {f"m{i}" for i in range(20)}
        net.cut = lambda now, a, b: 1.0 if (a.name in left) != (b.name in left) else 0.0
        net.run(net.now + 12 * SECOND)
        net.cut = None
        net.run(net.now + 20 * SECOND, net.views_agree)
        self.assertTrue(net.views_agree())
        self.assertLess(worst, 1200)
        for host in net.running():
            one = host.member
            self.assertLessEqual(len(one.probing.relays), probing.MAX_RELAYS)
            self.assertLessEqual(len(one.probing.targets), probing.MAX_RELAYS)
            self.assertLessEqual(one.gossip.queued_bytes, 64 * 1024)


if __name__ == "__main__":
    unittest.main()
