"""Write logs as short sentences behind a fixed prefix for each part."""

from absl import logging


class PartLog:
    """The log of one part; every line starts with the part's name."""

    def __init__(self, part: str) -> None:
        self._prefix = f"[{part}] "

    def info(self, sentence: str, *values: object) -> None:
        """Log what an operator wants to know of a healthy system."""
        logging.info(self._prefix + sentence, *values)

    def warning(self, sentence: str, *values: object) -> None:
        """Log what costs efficiency and mends itself."""
        logging.warning(self._prefix + sentence, *values)

    def error(self, sentence: str, *values: object) -> None:
        """Log what an operator has to look at."""
        logging.error(self._prefix + sentence, *values)
