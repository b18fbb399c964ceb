"""Hold the commands: one module a command, found by its name.

``bundle_roll`` is ``roadlift bundle roll``; the function ``handle`` of a
module is the command.
"""
