"""What happens to a datagram on its way from one member to another, by the script alone.

No I/O.
"""

from __future__ import annotations

import random

from gullyoke.fault_testing.script import Script, Step


class Faults:
    """`cuts`: who is lost to whom, and how likely; the rest holds for all pairs."""

    def __init__(self, script: Script) -> None:
        self.script, self.chance = script, random.Random(script.seed)
        self.heal()

    def heal(self) -> None:
        """No fault on any link."""
        self.cuts: list[tuple[set[str], set[str], float]] = []
        self.loss = self.double = self.reorder = 0.0
        self.delay = (0.0, 0.0)

    def take(self, step: Step) -> None:
        """A step of the script that concerns the links."""
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
        """Seconds after which each copy of it arrives.

        None where it is lost, two where it is doubled.
        """
        lost = max([self.loss, *(share for a, b, share in self.cuts if from_ in a and to in b)])
        if lost and self.chance.random() < lost:
            return []
        copies = 2 if self.double and self.chance.random() < self.double else 1
        late = 0.05 if self.reorder and self.chance.random() < self.reorder else 0.0
        return [self.chance.uniform(*self.delay) + late for _ in range(copies)]
