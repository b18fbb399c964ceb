Feature: A process imports only what it uses and exits if it can't listen

  Callers wait until a restarted instance serves. circuits imported pkg_resources,
  which scans all installed packages: 0.12 of the 0.55 seconds of processor time of a
  start.

  Scenario Outline: A daemon of the interface routes does not import <module>
    When the components of the interface routes are imported in a new process
    Then <module> was not imported, and the import path is unchanged

    Examples:
      | module                   |
      | pkg_resources            |
      | defopt                   |
      | roadlift.daemon.exchange |

  Scenario Outline: A daemon whose <address> address is in use exits
    The process logged "ZMQError('Address already in use')" at its start and kept
    running without serving: every call to that instance failed until the end of the run.

    Given another program that listens at the <address> address
    When a daemon of the interface routes is started
    Then it exits with status 69 within 10 seconds

    Examples:
      | address |
      | peer    |
      | http    |
