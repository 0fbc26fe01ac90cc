"""The scenarios of membership in simulated time.

For each safeguard a scenario fails without it.
"""

import contextlib
import pathlib
import re
import unittest
from unittest import mock

from gullyoke.emulator.peers import SECOND, fleet
from gullyoke.membership import local_health, monitor_edge, probing, suspicion_tally
from gullyoke.membership.member_record import member_id

FOLDER = pathlib.Path(__file__).parent


def names(net, text):
    """Return the names in a list of `m1`, `m1..m4`, `z1` (a zone) and `all` (that run)."""
    found = []
    for part in text.split(","):
        if part == "all":
            found += [host.name for host in net.running()]
        elif part.startswith("z"):
            found += [host.name for host in net.hosts.values() if host.zone == part]
        elif span := re.fullmatch(r"m(\d+)\.\.m(\d+)", part):
            found += [f"m{i}" for i in range(int(span[1]), int(span[2]) + 1)]
        else:
            found.append(part)
    return found


class ScenarioRun:
    """The run of one scenario with one seed; tests/README.md has the notation."""

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
            assert self.net.views_agree(), "the fleet's views do not agree at the start"

    def lost(self, now, a, b):
        return max(
            (share for from_, to, share in self.cuts if a.name in from_ and b.name in to),
            default=0.0,
        )

    def at_cut(self, from_, arrow, to, share="1.0"):
        """`cut A -> B [SHARE]` in one direction, `cut A <> B` in both; `rest` is all others."""
        senders, receivers = set(names(self.net, from_)), set(names(self.net, to))
        if to == "rest":
            receivers = set(self.net.hosts) - senders
        self.cuts.append((senders, receivers, float(share)))
        if arrow == "<>":
            self.cuts.append((receivers, senders, float(share)))

    def at_heal(self):
        self.cuts.clear()

    def at_kill(self, who):
        for name in names(self.net, who):
            self.net.kill(name)

    def at_drop(self, who):
        """Stop processes with their machines, so that no host reports a closed port."""
        for name in names(self.net, who):
            self.net.kill(name, refuses=False)

    def at_pause(self, who, span):
        for name in names(self.net, who):
            self.net.pause(name, int(float(span) * SECOND))

    def at_leave(self, who):
        for name in names(self.net, who):
            self.net.leave(name)

    def at_start(self, who, *given):
        """Start or restart processes.

        Options: `seeds=`, `behind=` seconds by which the clock has gone back, `as=` the name,
        `zone=`.
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

    # Assertions.

    def at_within(self, span, verb, *rest):
        """Examples: `within 5 gone m1`, `within 5 equal`, `within 3 stage m1 out`, `within 4 sees
        m0 m1 unreachable`.
        """
        conditions = {
            "gone": self.departed,
            "equal": self.net.views_agree,
            "stage": self.stage,
            "sees": self.sees,
            "holds": self.holds,
        }
        began = self.net.now
        met = self.net.run(began + int(float(span) * SECOND), lambda: conditions[verb](*rest))
        assert met, f"not within {span} s: {verb} {' '.join(rest)}"

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
        observer = self.net.hosts[by].member
        matches = [
            observer.state(self.net.now, observer.view.records[member_id(name)]) == state
            for name in names(self.net, who)
        ]
        return sum(matches) >= 0.75 * len(matches)  # the observer may not know all states yet

    def holds(self, by, who):
        """Return whether all other views have this process under the name `who`."""
        incarnation = self.net.hosts[by].member.record.incarnation
        return all(
            host.member.view.records.get(member_id(who)) is not None
            and host.member.view.records[member_id(who)].incarnation == incarnation
            for host in self.net.running()
            if host.name != who
        )

    def at_removed(self, *who):
        """Assert that exactly these members have been removed by any member; `removed none`."""
        found = {
            seen.change.record.name for seen in self.net.changes if seen.change.kind == "removed"
        }
        wanted = set() if who == ("none",) else {name for x in who for name in names(self.net, x)}
        assert found == wanted, f"removed {sorted(found)}"

    def at_once(self, who):
        """Assert that no member removed any of these more than once."""
        for name in names(self.net, who):
            by = [seen.by for seen in self.net.removals_of(name)]
            assert len(by) == len(set(by)), f"{name} removed more than once"

    def at_size(self, by, members, *usable):
        """Assert the fleet's size in force at a member, with a configured size of 100."""
        estimate = self.net.hosts[by].member.size(self.net.now)
        assert estimate.in_force(100) == int(members), f"{estimate}"

    def at_sent(self, most):
        """Assert a bound of the mean number of messages that a member sends per second."""
        up = self.net.running()
        rate = sum(host.sent for host in up) / len(up) / (self.net.now / 1e6)
        assert rate <= float(most), f"{rate:.1f} messages a second"

    def at_numbers(self, who):
        """Assert that a member's version is not below any that was known under its name."""
        for name in names(self.net, who):
            highest = max(
                seen.change.record.version
                for seen in self.net.changes
                if seen.change.record.name == name
            )
            assert self.net.hosts[name].member.record.version >= highest


def run_scenario(path, seed):
    run = ScenarioRun(seed)
    for number, line in enumerate(path.read_text().splitlines(), 1):
        line = line.partition("#")[0].split()
        if line and line[0] != "seeds":
            try:
                run.line(line)
            except AssertionError as error:
                raise AssertionError(f"{path.stem}:{number}, seed {seed}: {error}") from None


def seeds(path):
    first = path.read_text().splitlines()[0].split()
    return range(int(first[1]) if first[0] == "seeds" else 3)


class Members(unittest.TestCase):
    def test_scenarios(self):
        paths = sorted(FOLDER.glob("*.txt"))
        self.assertTrue(paths)
        for path in paths:
            with self.subTest(path.stem):
                for seed in seeds(path):
                    run_scenario(path, seed)

    def test_guards(self):
        """Each of these scenarios fails if its guard is disabled.

        Guards against scenarios that pass with any rule. If another guard also protects a scenario,
        it is disabled in both runs, so that the difference is due to the tested guard alone.
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
                for other_guard in covering:
                    stack.enter_context(other_guard)
                run_scenario(FOLDER / f"{name}.txt", 0)
                stack.enter_context(guard)
                with self.assertRaises(AssertionError):
                    for seed in range(8):
                        run_scenario(FOLDER / f"{name}.txt", seed)

    def test_own_pause(self):
        """A member that resumes after a pause of its process suspects nobody before it has probed.

        Probes that went unanswered during the pause do not count. Here answers were already overdue
        before the pause, through loss that ended during it.
        """

        def suspicion_count(guard):
            with contextlib.ExitStack() as stack:
                if not guard:
                    stack.enter_context(
                        mock.patch.object(local_health.LocalHealth, "record_tick", lambda *_: False)
                    )
                net = fleet(3, 4, joined=True)
                net.cut = lambda now, a, b: 1.0
                net.run(net.now + 1_450_000)
                net.pause("m0", SECOND)
                net.cut = None
                net.run(net.now + SECOND + 50_000)
                return len(net.hosts["m0"].member.removal.report.suspicions)

        self.assertEqual((suspicion_count(True), suspicion_count(False) > 0), (0, True))

    def test_refutation(self):
        """A suspect refutes a suspicion that remains after its cause has ended.

        Without the refutation, members that miss the observer's next report would still count it.
        """

        def refutations_and_removals(refutes):
            with contextlib.ExitStack() as stack:
                if not refutes:
                    stack.enter_context(
                        mock.patch(
                            "gullyoke.membership.join_state.JoinState.begin_refutation_if_due",
                            lambda *_: False,
                        )
                    )
                net = fleet(5, 1)
                suspect = net.hosts["m1"].member
                before = suspect.record.version
                net.pause("m1", 2 * SECOND)
                net.run(net.now + 6 * SECOND)
                return suspect.record.version - before, len(net.removals_of("m1"))

        refuted, removed = refutations_and_removals(True)
        self.assertEqual((refuted >= 1, removed), (True, 0))
        self.assertEqual(refutations_and_removals(False)[0], 0)

    def test_no_seed_listens(self):
        """A member whose seeds do not exist stays in the stage `alone`.

        The number of messages that it sends is bounded.
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

        def simulate():
            net = fleet(9, 5, loss=0.2)
            net.pause("m3", 2 * SECOND)
            net.kill("m5")
            net.run(net.now + 8 * SECOND)
            return [
                (seen.at_us, seen.by, seen.change.kind, seen.change.record.digest)
                for seen in net.changes
            ], [host.sent for host in net.hosts.values()]

        self.assertEqual(simulate(), simulate())

    def test_bounds(self):
        """Datagrams and tables stay within their bounds in a fleet of 60.

        A third of the fleet is cut off and comes back.
        """
        from gullyoke.emulator.peers import datagram_bytes

        net = fleet(60, 2, joined=True)
        largest = 0
        send_outgoing = net._send_outgoing

        def measured_send(host):
            nonlocal largest
            for send in host.member.dissemination.outgoing:
                largest = max(largest, datagram_bytes(send.message))
            send_outgoing(host)

        net._send_outgoing = measured_send
        cut_off = {f"m{i}" for i in range(20)}
        net.cut = lambda now, a, b: 1.0 if (a.name in cut_off) != (b.name in cut_off) else 0.0
        net.run(net.now + 12 * SECOND)
        net.cut = None
        net.run(net.now + 20 * SECOND, net.views_agree)
        self.assertTrue(net.views_agree())
        self.assertLess(largest, 1200)
        for host in net.running():
            peer = host.member
            self.assertLessEqual(len(peer.probing.relays), probing.MAX_RELAYS)
            self.assertLessEqual(len(peer.probing.targets), probing.MAX_RELAYS)
            self.assertLessEqual(peer.gossip.queued_bytes, 64 * 1024)


if __name__ == "__main__":
    unittest.main()
