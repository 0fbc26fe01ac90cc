"""Checks the process that the deploy file's `run` starts, from outside.

It must be one small process that imports only the standard library and the named packages.
"""

import contextlib
import importlib.util
import marshal
import os
import pathlib
import shlex
import subprocess
import sys
import threading
import tomllib
import unittest

from standins import ROOT, Sockets

from gullyoke.experiments import usage

FOREIGN = "site-packages"
# The numbers of modules and bytes are the same in each run on one version of Python; the bounds
# leave room for other versions.
MODULES, RESIDENT_MB, CPU_S = 260, 40.0, 10.0
OUR_CODE_BYTES = 445_000  # compiled, without docstrings; set 5 % above the actual size


def code_size(module):
    """Return the size of a module's compiled code in bytes, without docstrings and its path."""
    source = pathlib.Path(importlib.util.find_spec(module).origin).read_text()
    return len(marshal.dumps(compile(source, "module", "exec", optimize=2)))


class Lean(unittest.TestCase):
    def deploy(self):
        with open(ROOT / "deploy/balancer.toml", "rb") as file:
            return tomllib.load(file)

    def run_line(self):
        """Return `run` with the current interpreter instead of the one that `build` installs."""
        line = self.deploy()["run"]
        self.assertTrue(line.startswith("exec .venv/bin/python "), line)
        return line.replace(".venv/bin/python", shlex.quote(sys.executable), 1)

    def test_interrupted_build_is_repeated(self):
        """A build that was interrupted is done again.

        Guards against a build that takes the folder of an interrupted one for complete. Stand-ins
        replace the two commands that take long.
        """
        build = self.deploy()["build"]
        with contextlib.ExitStack() as stack:
            scene = stack.enter_context(contextlib.closing(Sockets()))
            here = pathlib.Path(scene.folder.name)
            python = here / "python3"
            # Creates a folder whose pip fails the first time, like that of an interrupted build.
            python.write_text(
                "#!/bin/sh\nmkdir -p .venv/bin\necho x >> made\n"
                'printf "#!/bin/sh\\ntest -e ready" > .venv/bin/pip\nchmod +x .venv/bin/pip\n'
            )
            python.chmod(0o755)
            env = os.environ | {"PATH": f"{here}:{os.environ['PATH']}"}

            def once():
                return subprocess.run(["/bin/sh", "-c", build], cwd=here, env=env).returncode

            self.assertNotEqual(once(), 0)
            (here / "ready").touch()
            self.assertEqual(once(), 0)
            self.assertEqual(once(), 0)
            self.assertEqual(
                (here / "made").read_text(), "x\nx\n"
            )  # two builds: the third call found a complete one

    def test_run(self):
        """The shell becomes the server process, which is linked dynamically, maps no file of
        another package, and has no child process and no Unix socket.
        """
        with contextlib.closing(Sockets()) as scene:
            scene.configure_file()
            scene.process = subprocess.Popen(
                ["/bin/sh", "-c", self.run_line()],
                cwd=ROOT,
                stderr=subprocess.PIPE,
                text=True,
                env=os.environ | {"NODE_CONFIG": scene.config},
            )
            threading.Thread(target=scene.collect, args=(scene.process,), daemon=True).start()
            scene.line("engine up warm".split())
            scene.line("1 read a pay".split())
            scene.line("engine> RUN a".split())
            scene.line("engine done a ok fine".split())
            scene.line("1< 200 fine".split())
            pid = pathlib.Path(f"/proc/{scene.process.pid}")
            self.assertIn("python", os.readlink(pid / "exe"))  # the shell has become the server
            children = "".join((task / "children").read_text() for task in (pid / "task").iterdir())
            self.assertEqual(children.split(), [])
            maps = (pid / "maps").read_text()
            self.assertRegex(maps, r"/libc[.-]\S*so")
            self.assertNotIn(FOREIGN, maps)
            held = {os.readlink(fd) for fd in (pid / "fd").iterdir()}
            unix = {
                f"socket:[{line.split()[6]}]"
                for line in pathlib.Path("/proc/net/unix").read_text().splitlines()[1:]
            }
            self.assertEqual(held & unix, set())
            self.assertFalse([name for name in held if FOREIGN in name])
            resident = usage.resident(scene.process.pid) / 1024
            cpu = usage.cpu(scene.process.pid)
            print(
                f"start and one request: {cpu:.2f} s of CPU, {resident:.1f} MB resident",
                file=sys.stderr,
            )
            self.assertLess(resident, RESIDENT_MB)
            self.assertLess(cpu, CPU_S)

    def test_imports(self):
        """The daemon imports only the standard library and the packages of the deploy file."""
        code = (
            "import sys, gullyoke.daemon.serve\n"
            "for name, one in sorted(sys.modules.items()):\n"
            "    print(name, getattr(one, '__file__', None) or '-')"
        )
        got = subprocess.check_output([sys.executable, "-c", code], cwd=ROOT, text=True)
        rows = [line.split(" ", 1) for line in got.splitlines()]
        self.assertEqual(
            [name for name, path in rows if FOREIGN in path and not name.startswith("_")], []
        )
        ours = sorted(name for name, _ in rows if name.startswith("gullyoke"))
        named = (
            self.deploy()["node"]
            + self.deploy()["policy"]
            + ["gullyoke/admission", "gullyoke/settings"]
        )
        allowed = {path.removesuffix(".py").replace("/", ".") for path in named}
        unexpected = [
            name
            for name in ours
            if name != "gullyoke"
            and not any(name == a or name.startswith(a + ".") for a in allowed)
        ]
        self.assertEqual(unexpected, [])
        self.assertNotIn("multiprocessing", {name for name, _ in rows})
        self.assertLessEqual(sum(map(code_size, ours)), OUR_CODE_BYTES)
        self.assertLessEqual(len(rows), MODULES)


if __name__ == "__main__":
    unittest.main()
