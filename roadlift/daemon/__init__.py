"""Assemble the parts into the daemon of an entry instance."""

import sys

# Where circuits finds pkg_resources it declares a namespace by it, which scans
# all that is installed: 0.12 of the 0.55 s of processor time until a process
# serves, for which callers wait behind a restart (medians of four starts).
# Without it circuits looks for its files and puts its folder on the path.
if "pkg_resources" not in sys.modules:
    path = list(sys.path)
    sys.modules["pkg_resources"] = None
    import circuits  # noqa: F401

    del sys.modules["pkg_resources"]
    sys.path[:] = path
