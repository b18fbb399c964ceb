"""Define the messages between the instances and the owner of a zone."""

from typing import NamedTuple

from roadlift.core.codec import message


@message("su")
class Subscribe(NamedTuple):
    """Tell an owner that an instance lives and what it used since.

    ``uses`` are [engine, base model, adapter, calls begun since, calls that
    run]; ``fence`` and ``serial`` are of the last news from the owner;
    ``home`` is the instance's own zone where it can take leases, or empty.
    """

    address: str
    home: str
    zone: str
    fence: int
    serial: int
    uses: list


@message("sp")
class Pulse(NamedTuple):
    """Tell a subscriber that the owner lives, and how far its news go.

    ``instances`` counts those that subscribe; ``is_ready`` tells that the
    owner may give orders; ``running`` are [engine, calls of all instances].
    """

    zone: str
    fence: int
    serial: int
    instances: int
    is_ready: bool
    running: list


@message("sl")
class Listing(NamedTuple):
    """Tell all that an engine holds, as [base model, adapter, version]."""

    zone: str
    fence: int
    serial: int
    endpoint: str
    held: list


@message("sn")
class News(NamedTuple):
    """Tell that an engine holds an adapter now, or (version -1) does not."""

    zone: str
    fence: int
    serial: int
    endpoint: str
    base: str
    adapter: str
    version: int


@message("sa")
class Ask(NamedTuple):
    """Ask an owner to load an adapter at an engine.

    ``least`` is the oldest version that will do; ``priority`` 0 is the most
    urgent; ``is_missing`` tells that the engine has just refused a call for
    want of the adapter.
    """

    address: str
    zone: str
    endpoint: str
    base: str
    adapter: str
    least: int
    priority: int
    is_missing: bool


@message("sd")
class Denial(NamedTuple):
    """Tell that an owner will not load an adapter at an engine soon."""

    zone: str
    endpoint: str
    base: str
    adapter: str
