"""The clayfield-node command; `clayfield.node.command` does the work."""

import signal


def main() -> None:
    """Runs one entry or control node of a pool, and exits."""
    # Without a handler the signal ends the process, and the imports take long.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from clayfield.node import command

    command.main()


if __name__ == "__main__":
    main()
