"""`python -m gullyoke.cli` where the installed command is not on the path."""

from gullyoke.cli.main import main

if __name__ == "__main__":
    main(prog_name="gullyoke")
