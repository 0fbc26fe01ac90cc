"""UCRL-M: learning from how many requests in the server the next one is better rejected."""

from __future__ import annotations

import math


class Learner:
    """UCRL-M on s, the reqs held or running.

    Counts a pair (s, action) and module, EVI, episodes by doubling.

    Tables: one row for each pair and module, 2 * 3 * (S + 1), fixed at the start; emptied by a
    restart.
    """

    def __init__(
        self,
        now: int,
        top: int,
        cores: int,
        work: float,
        holding: float,
        modules=3,
        width=0.02,
        prior=4.0,
    ) -> None:
        self.top, self.cores, self.modules, self.width = top, cores, modules, width
        self.step = max(
            1, int(work / cores / 12)
        )  # ours: a dozen steps for each req a full server ends
        self.origin, self.steps, self.s, self.busy = now, 0, 0, False
        self.room = math.inf  # runs that can be had, where the cores are not its own
        self.holding = holding * self.step  # cost of a req for a step; a refusal costs 1
        pairs, rate = 2 * (top + 1), cores * self.step / work
        ends = [rate * min(i // 2, cores) / cores for i in range(pairs)]
        comes = [rate if i % 2 and i // 2 < top else 0.0 for i in range(pairs)]
        shed = [0.0 if i % 2 else rate for i in range(pairs)]
        self.visits = [[prior] * pairs for _ in range(modules)]  # ours: a full server at load 1
        self.ups, self.downs, self.sheds = (
            [[prior * x for x in row] for _ in range(modules)] for row in (comes, ends, shed)
        )
        self.before = [row[:] for row in self.visits]
        self.steepness, self.policy = (
            [0.0] * (top + 1),
            [1] * (top + 1),
        )  # of the bias, from s to s + 1
        self.episodes, self.bound, self.fresh, self.ramp = 0, 0, True, modules

    def admits(self, kept: int = 0) -> bool:
        """The decision on an arrival, as if `kept` more were there.

        Binds only while the cores are busy.
        """
        at = self.s + kept
        admit = not self.binds() or (at < self.top and self.policy[at] == 1)
        self.bound += not admit
        return admit

    def binds(self) -> bool:
        """The gauge speaks of the last half second.

        With fewer reqs than cores a core is free now (ours).
        """
        return self.busy and self.s >= min(self.cores, self.room)

    def count(self, now: int, move: int = 0, shed: int = 0) -> None:
        """One step with at most one arrival or departure, after the empty ones since the last, in
        bulk.
        """
        due = (now - self.origin) // self.step
        if due > self.steps:
            self._add(due - self.steps, 0, 0)
        if move or shed:
            self._add(1, move, shed)
            self.s += move

    def _add(self, n: int, move: int, shed: int) -> None:
        s = min(self.s, self.top)
        pair = 2 * s + (self.policy[s] if self.binds() else 1)
        if shed and not move:  # an arrival refused; one given up later is a departure
            pair = 2 * s
        first, self.steps = self.steps, self.steps + n
        ramping = min(n, self.ramp)  # the ramping phase's samples are thrown away
        self.ramp -= ramping
        first, n = first + ramping, n - ramping
        for k in range(min(n, self.modules)):
            m = (first + k) % self.modules
            self.visits[m][pair] += (n - k - 1) // self.modules + 1
            self.ups[m][pair] += move > 0
            self.downs[m][pair] += move < 0
            self.sheds[m][pair] += shed
            if self.visits[m][pair] >= 2 * max(0.5, self.before[m][pair]):
                self.fresh = True

    def solve(self):
        """A new episode, from now on.

        The work that finds its policy, in pieces; reqs go on between them.
        """
        self.fresh, self.ramp, self.episodes = False, self.modules, self.episodes + 1
        self.before = [row[:] for row in self.visits]
        return self.sweeps()

    def sweeps(self):
        """Finds the policy that is best in the most optimistic model within the widths.

        Widths have UCRL2's form (Jaksch et al. 2010) with the constants of the birth-and-death case
        (Anselmi et al. 2022), scaled by `width` (ours). Tridiagonal; starts from the last bias;
        stops by span.
        """
        log, worst, rows, most = (
            math.log(4 * (self.steps + 2)),
            1 + self.holding * self.top,
            [],
            1e-9,
        )
        for pair in range(2 * (self.top + 1)):
            s, visits = pair // 2, [row[pair] for row in self.visits]
            n = max(visits)
            m, n = visits.index(n), max(1.0, n)
            cost, slack = (
                self.holding * s + self.sheds[m][pair] / n,
                self.width * math.sqrt(8 * log / n) / 2,
            )
            gain = min(0.0, self.width * worst * math.sqrt(2 * log / n) - cost)
            up, down = self.ups[m][pair] / n, self.downs[m][pair] / n
            far_down = min(1.0, down + slack) if s else 0.0
            far_up = min(1.0, up + slack) if s < self.top else 0.0
            rows.append(
                (
                    gain,
                    far_down,
                    min(max(0.0, up - slack), 1 - far_down),
                    min(max(0.0, down - slack), 1 - far_up),
                    far_up,
                )
            )
            most = max(most, far_down + rows[-1][2], far_up + rows[-1][3])
        # Uniformized at the model's own largest rate: the same policy and bias in fewer sweeps.
        scale = 0.95 / most
        rows = [tuple(x * scale for x in row) for row in rows]
        both, steps, policy = list(zip(rows[::2], rows[1::2], strict=True)), self.steepness, []
        for _ in range(30):
            gains, policy, emptier = [], [], 0.0
            for (r0, d0, u0, a0, b0), (r1, d1, u1, a1, b1) in both:
                fuller = steps[len(gains)]
                q0, q1 = r0 - d0 * emptier + u0 * fuller, r1 - d1 * emptier + u1 * fuller
                if fuller > 0:  # unexplored fuller states may look better
                    q0 = max(q0, r0 - a0 * emptier + b0 * fuller)
                    q1 = max(q1, r1 - a1 * emptier + b1 * fuller)
                policy.append(q1 >= q0)
                gains.append(q1 if q1 >= q0 else q0)
                emptier = fuller
            for s in range(self.top):
                steps[s] += gains[s + 1] - gains[s]
            if max(gains) - min(gains) < self.holding * scale / 8:
                break
            yield
        self.policy = policy

    def story(self) -> str:
        """Where the threshold stands (the first s refused), for the log."""
        first = self.policy.index(0, self.cores) if 0 in self.policy[self.cores :] else self.top
        return f"s {self.s} threshold {first} of {self.top} episodes {self.episodes} refused {self.bound}"
