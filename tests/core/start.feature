Feature: A process starts without what it does not use

  Each second until an instance serves is one in which callers wait behind a restart.
  circuits imported pkg_resources, which scans all that is installed: 0.12 of the 0.55
  seconds of processor time of a start.

  Scenario Outline: A daemon of the interface routes imports no <module>
    When the parts of the interface routes are imported in a new process
    Then <module> was not imported, and the path is as it was

    Examples:
      | module                   |
      | pkg_resources            |
      | defopt                   |
      | roadlift.daemon.exchange |

  Scenario Outline: A daemon whose <address> address is taken ends
    "ZMQError('Address already in use')" was logged at a start, and the process went on
    without serving anybody: every call to that instance failed until the end of the run.

    Given a program that listens where the <address> address is to be
    When a daemon of the interface routes is started
    Then it ends with 69 within 10 seconds

    Examples:
      | address |
      | peer    |
      | http    |
