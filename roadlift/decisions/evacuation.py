"""Decide how long an evacuated zone still gets calls.

Load pattern: the operator takes a zone with a third of the endpoints out of
service under full load. The adapters that only its engines hold are called
many times a second; if all of them were loaded elsewhere at once, their calls
would wait for hundreds of loads. Therefore these calls, and no others, go to
the zone for a short while, and each of them orders a copy elsewhere.

An instance may learn of the evacuation late. The while is measured from the
time as of which the operator's table was known not to request it.
"""

# Fraction of the time that the operator allows until nothing is sent to the
# zone any more; the rest is for instances that learn of it late, and for calls
# that are on their way.
STOP_FRACTION = 0.4
# Seconds within which copies of the adapters in use are loaded elsewhere;
# later calls for an adapter find its copy there.
MAX_CLOSING_TIME = 1.0


def compute_stop_time(limit: float, age: float, now: float) -> float:
    """Return the time from which nothing is sent to an evacuated zone.

    The operator allows ``limit`` seconds. ``age`` is for how many seconds the
    evacuation may have gone unnoticed here.
    """
    left = STOP_FRACTION * limit - age
    return now + min(MAX_CLOSING_TIME, max(0.0, left))
