"""The operator's file and the command line: valid files, and one line for each fault."""

import pathlib
import re
import subprocess
import sys
import tempfile
import unittest

import grpc_tools
from click.testing import CliRunner
from google.protobuf import descriptor_pb2
from grpc_tools import protoc

from gullyoke import __version__
from gullyoke.cli.main import main
from gullyoke.operator_config import operator_pb2 as schema
from gullyoke.operator_config.read import read
from gullyoke.operator_config.wanted import OperatorFileError

ROOT = pathlib.Path(__file__).parents[2]
WELL_KNOWN = pathlib.Path(grpc_tools.__file__).parent / "_proto"
BACK = 'backends { backend { address: "127.0.0.1:9001" } '


class Operator(unittest.TestCase):
    def write(self, text):
        with tempfile.NamedTemporaryFile("w", suffix=".textproto", delete=False) as file:
            self.addCleanup(pathlib.Path(file.name).unlink)
            file.write(text)
        return file.name

    def test_generated_code_is_current(self):
        """The generated code is that of the schema beside it."""
        with tempfile.NamedTemporaryFile() as out:
            self.assertEqual(
                protoc.main(
                    [
                        "protoc",
                        f"-I{ROOT}",
                        f"-I{WELL_KNOWN}",
                        f"--descriptor_set_out={out.name}",
                        f"{ROOT}/gullyoke/operator_config/operator.proto",
                    ]
                ),
                0,
            )
            found = descriptor_pb2.FileDescriptorSet.FromString(out.read()).file[0]
        imported = descriptor_pb2.FileDescriptorProto()
        schema.DESCRIPTOR.CopyToProto(imported)
        # The compiler writes out JSON names that follow from the fields' own.
        self.assertEqual(re.sub(r' +json_name: ".*"\n', "", str(found)), str(imported))

    def test_example(self):
        """The example in deploy/ is valid, and settings that it leaves out have their defaults."""
        wanted = read(str(ROOT / "deploy/scgi.textproto"))
        self.assertEqual([w.name for w in wanted.ways], ["scgi", "local"])
        self.assertEqual(wanted.ways[1].address, "/run/gullyoke/scgi.sock")
        self.assertEqual(
            [(b.weight, b.least, b.most) for b in wanted.pool.back_ends],
            [(1.0, 1, 64), (2.0, 1, 32), (1.0, 1, 64)],
        )
        self.assertEqual((wanted.pool.linger, wanted.pool.answer_bytes), (2_000_000, 65536))
        empty = read(self.write("# nothing\n"))
        self.assertEqual((empty.ways, empty.pool, empty.json_log), ((), None, False))

    def test_faults(self):
        """Each fault is one line: the file, the line, the key and the valid values."""
        for text, said in (
            (
                "\n\nlistner { }",
                r":3: listner: no such key; right would be one of log, listener, backends",
            ),
            (
                'listener {\n name: "a"\n adress: "x:1" }',
                r":3: adress: no such key; right would be one of",
            ),
            (
                'listener { name: "a" }',
                r":1: listener\[0\].address: missing; right would be an address",
            ),
            (
                'listener {\n name: "A b"\n address: "x:1" }',
                r":2: listener\[0\].name: 'A b' can't be",
            ),
            (
                'listener { name: "a" address: "x:99999" }',
                r"address: 'x:99999' can't be; right would",
            ),
            (
                'listener { name: "a" address: "x:1" }\nlistener {\n name: "a"\n address: "x:2" }',
                r":3: listener\[1\].name: 'a' is taken",
            ),
            ('listener { name: "gateway" address: "x:1" }', r"'gateway' is taken"),
            (
                'listener { name: "a" address: "x:1" }\nlistener { name: "b"\n address: "x:1" }',
                r":3: listener\[1\].address: 'x:1' stands twice",
            ),
            (
                'pools { class { name: "a" handler: "x" }\nclass { name: "b" handler: "x" } }',
                r":2: .*'x' is in 'a'",
            ),
            ("pools { minimum: 0.9 }", r":1: pools.minimum: 0.9 can't be"),
            ("backends { }", r":1: backends.backend: missing; right would be at least one"),
            (
                BACK + "\n retry_share: 7 }",
                r":2: backends.retry_share: 7.0 can't be; right would be a share",
            ),
            (BACK + "\n retry_share: nan }", r":2: backends.retry_share: nan can't be"),
            (
                BACK + '\n\n backend { address: "127.0.0.1:9001" } }',
                r":3: .*backend\[1\].address: .* twi",
            ),
            (
                BACK + 'backend { address: "x:1"\n least: 9\n most: 3 } }',
                r":3: .*\[1\].most: 3 is under",
            ),
            (
                BACK + "ejection { first_out_ms: 5000\n longest_out_ms: 4000 } }",
                r":2: .*longest_out_ms: 4",
            ),
            (BACK + "linger_ms: -1 }", r":1: .*-1"),
            (BACK + 'linger_ms: "x" }', r":1: "),
            (BACK, r":1: "),
            ("log { form: XML }", r":1: .*XML"),
        ):
            with self.subTest(text):
                path = self.write(text)
                with self.assertRaisesRegex(OperatorFileError, said) as caught:
                    read(path)
                for line in caught.exception.faults:
                    self.assertTrue(line.startswith(path) and "\n" not in line)
        with self.assertRaisesRegex(OperatorFileError, "can't be read"):
            read("/nowhere/at/all")

    def test_all_faults(self):
        """All faults are reported at once, in the order of their lines."""
        path = self.write(BACK + '\n retry_share: 7\n linger_ms: 700000\n}\nlistener { name: "a" }')
        result = CliRunner().invoke(main, ["check", path])
        self.assertEqual(result.exit_code, 2)
        lines = result.stderr.splitlines()
        self.assertEqual([line.split(":")[1] for line in lines], ["2", "3", "5"])

    def test_commands(self):
        run = CliRunner().invoke
        self.assertEqual(run(main, ["version"]).output, f"gullyoke {__version__}\n")
        right = run(main, ["check", str(ROOT / "deploy/scgi.textproto")])
        self.assertEqual(right.exit_code, 0)
        self.assertIn("2 further listeners, work at 3 back ends", right.output)
        member = run(main, ["check", str(ROOT / "deploy/fleet.textproto")])
        self.assertIn("work at the engine, in the fleet orders by 3 seeds", member.output)
        fleet = [["fleet", name] for name in ("status", "events", "play", "key")]
        for command in ([], ["serve"], ["check"], *fleet):
            self.assertIn("Example", run(main, [*command, "--help"]).output)
        wrong = run(main, ["serve", "--operator", self.write("backends { }")])
        self.assertEqual((wrong.exit_code, "backends.backend: missing" in wrong.stderr), (2, True))
        self.assertEqual(run(main, ["serve", "--operator", "/nowhere"]).exit_code, 2)

    def test_imports_without_file(self):
        """Without an operator's file its modules are not imported, which saves memory."""
        code = (
            "import sys; import gullyoke.daemon.daemon, gullyoke.daemon.serve, gullyoke.daemon.configuration;"
            "print([m for m in sys.modules if m.split('.')[0] in ('google', 'click', 'pythonjsonlogger')"
            " or m.startswith(('gullyoke.routing', 'gullyoke.operator_config', 'gullyoke.cli'))])"
        )
        got = subprocess.check_output([sys.executable, "-c", code], cwd=ROOT, text=True)
        self.assertEqual(got.strip(), "[]")


if __name__ == "__main__":
    unittest.main()
