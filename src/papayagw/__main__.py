"""Entry point of ``python -m papayagw``."""

from papayagw._internal.cli.main import main

if __name__ == "__main__":
    main()
