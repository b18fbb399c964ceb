"""Decide how calls wait, are placed and are refused.

Plain objects without sockets, kernel or clock: times are arguments, in
seconds; observations go in, and typed decisions come out. Other applications
can embed them; ``roadlift.instance`` carries them out.
"""
