"""Hold the kernel: clock, errors, loop, checks and registries."""
