"""Tell other instances under which calls endpoints ended.

What is new goes to the aggregator at once, from there to its subscribers and
to the owners of other zones, which pass it on in turn. Each second checksums
are compared, and where they differ, both sides tell all: an instance that
started again, or heard nothing for a while, knows it a second later. Where
nothing is known, nothing is sent.
"""

from roadlift.core.errors import MalformedMessage
from roadlift.core.kernel import Kernel
from roadlift.core.logs import PartLog
from roadlift.core.loop import Timer
from roadlift.crashes.ledger import CrashLedger
from roadlift.daemon.transport import Transport
from roadlift.decisions.crashes import Sign
from roadlift.instance.aggregator import Aggregator
from roadlift.instance.leases import Leases
from roadlift.instance.subscription import Subscription
from roadlift.serving.crashevidence import read_evidence
from roadlift.serving.messages import CrashNews, CrashSum

SUM_PERIOD = 1.0  # Seconds between checksums.
# Seconds without a checksum from the aggregator behind which it is sent one.
SUM_LIMIT = 2.5
# Seconds between two tellings of all to one instance, and signs of one: 200
# are some 9 KB, so that differences which stay cost 4.5 KB/s at most.
ALL_PERIOD = 2.0
MOST_TOLD = 200

log = PartLog("crashes")


class CrashTelling:
    """The signs of crashes on their way between this process and others."""

    def __init__(self, kernel: Kernel) -> None:
        self._kernel = kernel
        self._ledger = kernel.get(CrashLedger)
        self._crashes = self._ledger.crashes
        self._transport = kernel.get(Transport)
        self._leases = kernel.get(Leases)
        self._aggregator = kernel.get(Aggregator)
        self._subscription = kernel.get(Subscription)
        self._heard_at: dict[str, float] = {}
        self._told_at: dict[str, float] = {}
        self._timer: Timer | None = None
        self._ledger.on_news.append(self._spread)
        self._transport.subscribe((CrashNews,), self._take_news)
        self._transport.subscribe((CrashSum,), self._take_sum)

    def start(self) -> None:
        """Begin to compare checksums."""
        self._timer = self._kernel.loop.call_every(SUM_PERIOD, self._send_sums)

    def close(self) -> None:
        """Tell no more."""
        self._timer.close()

    def _spread(self, signs: list[Sign], besides: str = "") -> None:
        """Tell the others of signs that are new here."""
        for start in range(0, len(signs), MOST_TOLD):
            part = [list(sign) for sign in signs[start : start + MOST_TOLD]]
            news = CrashNews(self._kernel.settings.peer, part, False)
            self._transport.send_all(self._list_others() - {besides}, news)

    def _list_others(self) -> set[str]:
        """Return the addresses of those that are told, or pass it on."""
        if not self._leases.list_held():
            return {self._subscription.source} - {""}
        zones = self._leases.list_zones()
        owners = {self._leases.find_owner(zone) for zone in zones}
        others = owners | set(self._aggregator.list_subscribers())
        return others - {None, self._kernel.settings.peer}

    def _send_sums(self) -> None:
        now = self._kernel.clock.now()
        self._crashes.expire(now)
        if self._crashes.is_empty:
            return
        message = CrashSum(self._kernel.settings.peer, self._crashes.compute_checksum())
        others = self._list_others()
        if not self._leases.list_held():
            recent = now - SUM_LIMIT
            others = {one for one in others if self._heard_at.get(one, 0.0) < recent}
        self._transport.send_all(others, message)

    def _take_sum(self, sender: str, message: CrashSum) -> None:
        now = self._kernel.clock.now()
        self._heard_at = {message.address: now}
        if message.checksum != self._crashes.compute_checksum():
            self._tell_all(message.address, True, now)

    def _tell_all(self, address: str, wants_all: bool, now: float) -> None:
        """Tell one instance all signs, the newest first."""
        if wants_all and now - self._told_at.get(address, float("-inf")) < ALL_PERIOD:
            return
        recent = {one: at for one, at in self._told_at.items() if now - at < ALL_PERIOD}
        self._told_at = {**recent, address: now}
        signs = sorted(self._crashes.list_signs(now), key=lambda sign: sign.age)
        told = [list(sign) for sign in signs[:MOST_TOLD]]
        news = CrashNews(self._kernel.settings.peer, told, wants_all)
        self._transport.send(address, news)

    def _take_news(self, sender: str, news: CrashNews) -> None:
        now = self._kernel.clock.now()
        try:
            signs = read_evidence(news.signs)
        except MalformedMessage as error:
            log.warning("Signs of crashes were ignored: %s.", error)
            return
        found = self._ledger.merge(signs)
        if found and self._leases.list_held():
            self._spread(found, news.address)
        if news.wants_all:
            self._tell_all(news.address, False, now)
