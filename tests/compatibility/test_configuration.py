"""The daemon's configuration: the JSON file, the environment and the settings in the file."""

import dataclasses
import json
import tempfile
import unittest

from compatibility.recorded import DATA
from gullyoke.admission.interface import (
    DependencyFacts,
    Fleet,
    Idempotency,
    Limits,
    Machine,
    Permissions,
    RequestClass,
    StopMode,
    Tenant,
)
from gullyoke.daemon.configuration import load_configuration
from gullyoke.errors import ConfigurationError
from gullyoke.settings.reader import flatten_settings
from gullyoke.settings.site_settings import SiteFacts, parse_site_facts

FILE = DATA / "daemon.json"
FACTS = SiteFacts(
    [
        RequestClass(
            "view", 250_000, 700_000, 1.5, Idempotency.IDEMPOTENT, 0.25, 3_000_000, True, 0.4, 2.0
        ),
        RequestClass(
            "book", 400_000, 1_200_000, 3.0, Idempotency.KEYED, 0.0, 5_000_000, False, 0.0, 0.0
        ),
        RequestClass(
            "pay", 300_000, 800_000, 5.0, Idempotency.NON_IDEMPOTENT, 0.0, 0, True, 0.125, 0.0
        ),
    ],
    [Tenant("acme", 12.5), Tenant("zenith", 60.0)],
    Machine(4, 50_000.0, 4.5, 12.25, True, StopMode.FREEZE, ("core_use", "on_cores", "links")),
    Limits(80_000, 2_000_000, 8.0, 1_500_000, 0.25, 18_000_000),
    DependencyFacts(True, 6.25, 5_000_000, 200_000),
    Permissions(True, 1_000_000, "floor", 1_000_000, True, True, True, True, 30_000_000),
    Fleet(12, True, 0.125, 900_000, 7),
)


def values(record):
    """Return a record's fields in order; records in it are converted too."""
    if isinstance(record, list | tuple):
        return [values(one) for one in record]
    if dataclasses.is_dataclass(record):
        return [values(getattr(record, field.name)) for field in dataclasses.fields(record)]
    return record


def fields(record):
    """Return a record's fields in order, unconverted."""
    return tuple(getattr(record, field.name) for field in dataclasses.fields(record))


class Configuration(unittest.TestCase):
    maxDiff = None

    def load(self, apart=False, environment=None, **changes):
        """Load the recorded file with these keys changed; None removes a key."""
        found = json.loads(FILE.read_text()) | changes
        found = {key: value for key, value in found.items() if value is not None}
        with tempfile.NamedTemporaryFile("w", suffix=".json") as file:
            json.dump(found, file)
            file.flush()
            return load_configuration({"NODE_CONFIG": file.name} | (environment or {}), apart)

    def test_file(self):
        found = fields(load_configuration({"NODE_CONFIG": str(FILE)}))
        self.assertEqual(
            found[:8],
            (
                "server-1",
                ("127.0.0.1", 7001),
                ("127.0.0.1", 7002),
                ("127.0.0.1", 7003),
                ("127.0.0.1", 7004),
                0x1F2E3D4C,
                2_500_000,
                300,
            ),
        )
        self.assertEqual(values(found[8]), values(FACTS))
        self.assertEqual(found[9], "INFO")
        self.assertEqual(found[10], flatten_settings(json.loads(FILE.read_text())["settings"]))
        self.assertEqual(len(found), 11)

    def test_environment(self):
        found = fields(
            self.load(
                environment={
                    "NODE_NAME": "server-9",
                    "NODE_LISTEN": "0.0.0.0:8001",
                    "GULLYOKE_LOG": "debug",
                }
            )
        )
        self.assertEqual(found[:2], ("server-9", ("0.0.0.0", 8001)))
        self.assertEqual(found[9], "DEBUG")
        for level in ("DEBUG", "INFO", "WARNING", "ERROR"):
            self.assertEqual(self.load(environment={"GULLYOKE_LOG": level}).log_level, level)
        for environment in ({}, {"NODE_CONFIG": str(FILE), "GULLYOKE_LOG": "LOUD"}):
            with self.assertRaises(ConfigurationError):
                load_configuration(environment)

    def test_another_configuration(self):
        """A file with another name, other classes or other tenants belongs to another server."""
        found, settings = self.load(), json.loads(FILE.read_text())["settings"]
        fewer = {key: {**settings, key: settings[key][:1]} for key in ("Profiles", "Orgs")}
        for new, key in (
            (self.load(seed=1, stop_ms=7), None),
            (self.load(name="other"), "name"),
            (self.load(settings=fewer["Profiles"]), "settings.Profiles"),
            (self.load(settings=fewer["Orgs"]), "settings.Orgs"),
        ):
            self.assertEqual(found.mismatch_with(new), key)
        self.assertEqual(found.changed_fields(found), [])
        self.assertEqual(found.changed_fields(self.load(seed=1)), [])

    def test_optional_keys(self):
        self.assertEqual(self.load(limits=None).max_descriptors, 1024)
        self.assertEqual(self.load(seed=7).seed, 7)
        self.assertEqual(
            fields(self.load(apart=True, engine=None, naming=None, db=None))[2:5],
            (None, None, None),
        )
        for key in ("name", "listen", "engine", "naming", "db", "seed", "stop_ms", "settings"):
            with self.subTest(key), self.assertRaisesRegex(ConfigurationError, key):
                self.load(**{key: None})

    def test_settings_as_pairs(self):
        """Nested settings become dotted paths, as in the simulator's messages."""
        pairs = flatten_settings(json.loads(FILE.read_text())["settings"])
        self.assertEqual(pairs["Profiles.count"], "3")
        self.assertEqual(pairs["Profiles.1.Name"], "book")
        self.assertEqual(pairs["FamilyInfo.CallsByClass"], "true,false,true")
        self.assertEqual(pairs["FamilyInfo.OwnStats"], "core_use,on_cores,links")
        self.assertNotIn("Unknown.Key", pairs)
        self.assertEqual(values(parse_site_facts(pairs)), values(FACTS))


class Settings(unittest.TestCase):
    maxDiff = None

    def pairs(self, **changes):
        pairs = flatten_settings(json.loads(FILE.read_text())["settings"])
        return pairs | {key.replace("_", "."): text for key, text in changes.items()}

    def test_choices(self):
        """Each value that a setting may have, and what it is parsed to."""
        for key, part, place, words in (
            (
                "Profiles_0_Semantics",
                0,
                4,
                {
                    "repeatable": Idempotency.IDEMPOTENT,
                    "by_key": Idempotency.KEYED,
                    "once": Idempotency.NON_IDEMPOTENT,
                },
            ),
            (
                "FamilyInfo_StopMode",
                2,
                5,
                {"off": StopMode.NEVER, "discard": StopMode.DISCARD, "freeze": StopMode.FREEZE},
            ),
            ("FamilyInfo_DependsOn", 4, 0, {"off": False, "one_for_all": True, "tier": True}),
            (
                "FamilyInfo_Say",
                5,
                2,
                {"off": None, "floor": "floor", "allowance": "allowance", "weight": "weight"},
            ),
            ("WorthBy", 6, 1, {"request": False, "work": True}),
            ("FamilyInfo_FreshStart", 2, 4, {"true": True, "false": False, "1": True, "0": False}),
        ):
            for word, value in words.items():
                with self.subTest(key, word=word):
                    read = values(parse_site_facts(self.pairs(**{key: word})))[part]
                    self.assertEqual((read[0] if part == 0 else read)[place], value)
            with self.subTest(key), self.assertRaises(ConfigurationError):
                parse_site_facts(self.pairs(**{key: "else"}))

    def test_share_below_counts_only_where_all_share_it(self):
        self.assertIsNone(values(parse_site_facts(self.pairs(FamilyInfo_DependsOn="tier")))[4][1])

    def test_defaults(self):
        """The defaults of missing settings; a missing required setting is an error."""
        needed = {
            "Profiles.count": "1",
            "Profiles.0.Name": "view",
            "Profiles.0.ObjectiveUs": "250000",
            "Profiles.0.DeadlineUs": "700000",
            "Profiles.0.Importance": "1",
            "Profiles.0.Semantics": "repeatable",
            "FamilyInfo.Cores": "4",
            "FamilyInfo.MemoryKb": "50000",
            "FamilyInfo.Blowup": "4",
            "FleetSize": "1",
            "Rules.AnswerSlackUs": "80000",
            "Rules.DrainGraceUs": "2000000",
            "Rules.TipMultiple": "8",
            "Rules.TipAfterUs": "1500000",
            "Rules.StartCapacity": "0.25",
            "Rules.ColdUs": "18000000",
        }
        self.assertEqual(
            values(parse_site_facts(needed)),
            values(
                SiteFacts(
                    [
                        RequestClass(
                            "view",
                            250_000,
                            700_000,
                            1.0,
                            Idempotency.IDEMPOTENT,
                            0.0,
                            0,
                            False,
                            0.0,
                            0.0,
                        )
                    ],
                    [],
                    Machine(4, 50_000.0, 4.0, 0.0, False, StopMode.NEVER, ()),
                    Limits(80_000, 2_000_000, 8.0, 1_500_000, 0.25, 18_000_000),
                    DependencyFacts(False, None, 0, 0),
                    Permissions(False, 0, None, 0, False, False, False, False, 0),
                    Fleet(1, False, 1.0, 0, 0),
                )
            ),
        )
        for key in needed:
            with self.subTest(key), self.assertRaises(ConfigurationError) as fault:
                parse_site_facts({name: text for name, text in needed.items() if name != key})
            self.assertIn(key, str(fault.exception))


if __name__ == "__main__":
    unittest.main()
