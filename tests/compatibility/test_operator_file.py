"""The operator's file: one with every field of the schema, and one with as little as it needs."""

import tempfile
import unittest

from google.protobuf import text_format
from google.protobuf.message import Message

from compatibility.recorded import DATA
from gullyoke.operator_config import operator_pb2 as schema
from gullyoke.operator_config.read import read
from gullyoke.operator_config.wanted import (
    ApplicationLeaseSection,
    BackEnd,
    BackendsSection,
    DutiesSection,
    EjectionSection,
    FleetSection,
    ListenerSection,
    OperatorFileError,
    OperatorSettings,
    PoolsSection,
    SharesSection,
    StoreSection,
)

FILE, DEFAULTS = DATA / "operator.textproto", DATA / "operator-defaults.textproto"
HOMES = {"server-1": "10.0.0.4:7900", "server-2": "10.0.0.5:7900", "server-3": "10.0.0.6:7900"}


def unset(message: Message, path: str = "") -> list[str]:
    """Return the unset fields of a message, and of the first entry of each repeated field."""
    found = []
    for field in message.DESCRIPTOR.fields:
        value = getattr(message, field.name)
        if field.is_repeated:
            value = value[0] if value else None
        elif field.has_presence and not message.HasField(field.name):
            value = None
        if isinstance(value, Message):
            found += unset(value, f"{path}{field.name}.")
        elif value is None or (not value and not field.has_presence):
            found.append(path + field.name)
    return found


class OperatorFile(unittest.TestCase):
    maxDiff = None

    def test_file_has_every_field(self):
        self.assertEqual(unset(text_format.Parse(FILE.read_text(), schema.Operator())), [])

    def test_schema_package(self):
        """Programs generated from the schema depend on these names."""
        self.assertEqual(schema.DESCRIPTOR.package, "gullyoke")
        self.assertEqual(
            [field.name for field in schema.Operator.DESCRIPTOR.fields],
            ["log", "listener", "backends", "pools", "store", "fleet", "duties"],
        )

    def test_every_field_is_read(self):
        found = read(str(FILE))
        self.assertEqual(found[0], True)
        self.assertEqual(
            found[1],
            (
                ListenerSection("second", "HTTP_1", ("127.0.0.1", 4001)),
                ListenerSection("local", "SCGI", "/run/gullyoke/scgi.sock"),
            ),
        )
        self.assertEqual(
            found[2],
            BackendsSection(
                (
                    BackEnd("127.0.0.1:9001", ("127.0.0.1", 9001), 2.5, 3, 32, "makati"),
                    BackEnd("unix:/run/app/scgi.sock", "/run/app/scgi.sock", 1.0, 1, 64, "-"),
                ),
                1_500_000,
                True,
                131_072,
                12,
                0.25,
                20.0,
                EjectionSection(7, 0.375, 0.625, 1_100_000, 31_000_000, 4_500_000),
                2,
            ),
        )
        self.assertEqual(
            found[3], PoolsSection(0.0625, {"view": "reads", "list": "reads", "book": "writes"})
        )
        self.assertEqual(found[4], StoreSection("/var/lib/gullyoke", 25_165_824, "go on"))
        self.assertEqual(
            found[5],
            FleetSection(
                "orders",
                ("10.0.0.4", 7900),
                "192.168.0.4:7901",
                ("10.0.0.5:7900", "10.0.0.6:7900"),
                "makati",
                "/etc/gullyoke/fleet.key",
                ("127.0.0.1", 7990),
                True,
                True,
                True,
                SharesSection(HOMES, 120, 12, 0.5, 1.75, True, True),
            ),
        )
        self.assertEqual(
            found[6],
            DutiesSection(
                HOMES,
                4,
                2_500_000,
                750,
                "/var/lib/gullyoke",
                True,
                True,
                True,
                True,
                (
                    ApplicationLeaseSection("report", ("127.0.0.1", 9100), 400_000),
                    ApplicationLeaseSection("billing", ("127.0.0.1", 9101), 500_000),
                ),
            ),
        )
        self.assertEqual(len(found), 7)

    def test_defaults(self):
        home = {"server-1": "10.0.0.4:7900"}
        self.assertEqual(
            read(str(DEFAULTS)),
            OperatorSettings(
                False,
                (ListenerSection("scgi", "SCGI", ("127.0.0.1", 4000)),),
                BackendsSection(
                    (
                        BackEnd("127.0.0.1:9001", ("127.0.0.1", 9001), 1.0, 1, 64, "-"),
                        BackEnd("127.0.0.1:9002", ("127.0.0.1", 9002), 1.0, 70, 70, "-"),
                    ),
                    2_000_000,
                    False,
                    65_536,
                    8,
                    0.1,
                    10.0,
                    EjectionSection(5, 0.3, 0.5, 1_000_000, 30_000_000, 5_000_000),
                    0,
                ),
                PoolsSection(0.02, {}),
                StoreSection("/var/lib/gullyoke", 16_777_216, "shed"),
                FleetSection(
                    "orders",
                    ("10.0.0.4", 7900),
                    "10.0.0.4:7900",
                    ("10.0.0.4:7900",),
                    "-",
                    "/etc/gullyoke/fleet.key",
                    None,
                    False,
                    False,
                    False,
                    SharesSection(home, 40, 3, 0.25, 1.0, False, False),
                ),
                DutiesSection(
                    home,
                    1,
                    3_000_000,
                    1000,
                    "/var/lib/gullyoke",
                    False,
                    False,
                    False,
                    False,
                    (ApplicationLeaseSection("report", ("127.0.0.1", 9100), 500_000),),
                ),
            ),
        )

    def test_empty_file(self):
        self.assertEqual(
            self.read_text(""), OperatorSettings(False, (), None, None, None, None, None)
        )

    def test_store_without_keys(self):
        found = self.read_text('store { folder: "/var/lib/gullyoke" }')
        self.assertEqual(found[4], StoreSection("/var/lib/gullyoke", 16_777_216, ""))

    def test_signals_and_heed(self):
        """A server that acts on signals also sends them."""
        fleet = (
            'fleet { name: "orders" listen: "10.0.0.4:7900" seed: "10.0.0.4:7900" '
            'key_file: "/etc/key" %s }'
        )
        for text, signals, heed in (
            ("", False, False),
            ("signals: true", True, False),
            ("heed: true", True, True),
        ):
            with self.subTest(text):
                found = self.read_text(fleet % text)[5]
                self.assertEqual(tuple(found[8:10]), (signals, heed))

    def test_unknown_field_is_refused(self):
        with self.assertRaises(OperatorFileError):
            self.read_text("fleets { }")

    def read_text(self, text):
        with tempfile.NamedTemporaryFile("w", suffix=".textproto") as file:
            file.write(text)
            file.flush()
            return read(file.name)


if __name__ == "__main__":
    unittest.main()
