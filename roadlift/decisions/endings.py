"""Decide whether an endpoint that cut calls off has ended.

Load pattern: an endpoint ends, or it lives and broke off an answer, or the
path to it was reset. What listens at its address afterwards does not
distinguish them: a listener may outlive its process for a moment, and a port
mapper or a proxy accepts connections for a process that is gone. Only what an
ended or a living endpoint alone can show decides, and until then nothing is
concluded.
"""

import enum

# Seconds after the first cut at which new connections are tried. At the first,
# all calls that ran there are cut, and a process that exited usually has no
# listener. The later ones are for listeners that outlive their process.
CHECK_TIMES = (0.02, 0.2, 1.0)
CONNECT_TIMEOUT = 0.3  # Seconds in which a connection is accepted.
# Seconds for which an accepted connection is watched: a mapper closes it as
# soon as it finds no process, an endpoint that lives waits for a request.
HOLD_TIME = 0.06
# Seconds after the first cut from which bytes on an older connection show that
# the endpoint lives; until then they may have been on their way.
TRANSIT_TIME = 0.2
LIST_INTERVAL = 0.2  # Seconds between two readings of the list after these.
# Seconds for which an undecided endpoint is watched: an entry of one that
# ended is replaced or has lapsed by then.
MAX_WATCH_TIME = 10.0


class Observation(enum.StrEnum):
    """What was seen of an endpoint after it cut calls off.

    ``HELD`` is a new connection that stayed open, ``UNREACHABLE`` one that was
    not accepted in time, ``CLOSED`` one that the other side closed unused.
    ``UNLISTED`` means that its entry is gone, or is that of a later run;
    ``ANSWERED`` that it goes on with a call from before the cut.
    """

    REFUSED = "refused"
    CLOSED = "closed"
    UNLISTED = "unlisted"
    ANSWERED = "answered"
    HELD = "held"
    UNREACHABLE = "unreachable"


# A path that is cut or reset refuses and closes connections as well.
REACH_REQUIRED = frozenset({Observation.REFUSED, Observation.CLOSED})


def is_conclusive(observation: Observation, open_sends: int) -> bool:
    """Return whether an observation shows that an endpoint ended.

    As long as ``open_sends`` calls of this process are still open there, only
    a refused connection does.
    """
    if observation is Observation.REFUSED:
        return True
    return observation in (Observation.CLOSED, Observation.UNLISTED) and not open_sends
