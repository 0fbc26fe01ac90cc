"""Faults on the links between members: loss, delay, duplication and reordering of datagrams.

No I/O.
"""

from __future__ import annotations

import random

from gullyoke.fault_testing.script import Script, Step


class Faults:
    """The faults in force; `cuts` has senders, receivers and a loss probability.

    The other faults apply to all pairs of members.
    """

    def __init__(self, script: Script) -> None:
        self.script, self.chance = script, random.Random(script.seed)
        self.heal()

    def heal(self) -> None:
        """Remove the faults from all links."""
        self.cuts: list[tuple[set[str], set[str], float]] = []
        self.loss = self.double = self.reorder = 0.0
        self.delay = (0.0, 0.0)

    def take(self, step: Step) -> None:
        """Apply a step of the script that changes the links."""
        words = step.words
        if step.what == "cut":
            one, other = (set(self.script.chosen((w,))) for w in (words[0], words[2]))
            share = float(words[3]) if len(words) > 3 else 1.0
            self.cuts.append((one, other, share))
            if words[1] == "<>":
                self.cuts.append((other, one, share))
        elif step.what == "heal":
            self.heal()
        elif step.what == "delay":
            self.delay = float(words[0]) / 1000, float(words[1]) / 1000
        else:
            setattr(self, step.what, float(words[0]))

    def fate(self, from_: str, to: str) -> list[float]:
        """Draw the delay in seconds of each copy of a datagram.

        The list is empty for a lost datagram and has two entries for a duplicated one.
        """
        lost = max([self.loss, *(share for a, b, share in self.cuts if from_ in a and to in b)])
        if lost and self.chance.random() < lost:
            return []
        copies = 2 if self.double and self.chance.random() < self.double else 1
        late = 0.05 if self.reorder and self.chance.random() < self.reorder else 0.0
        return [self.chance.uniform(*self.delay) + late for _ in range(copies)]
