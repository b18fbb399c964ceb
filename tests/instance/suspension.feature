Feature: An instance counts the time for which its machine was suspended

  Guards against a clock that stops during a suspension. The monotonic clock of the operating
  system does not count that time, but the store and all other instances do. An owner of a
  zone that was suspended for 10 seconds took its lease of 7 seconds for valid afterwards,
  and sent an engine two orders with fence 7, after the next owner's orders with fence 24.

  Scenario Outline: The clock of the instances <counts> suspended time
    Given instances whose clock <counts> suspended time
    And an installation with instances a and b in zone z1 and c in zone z2
    And engines e1 and e2 in z1 and e3 in z2, and plain endpoints p1 in z1 and p2 in z2
    When the owner of z1 is suspended for 10 seconds while calls need loads
    Then <orders> orders reach an engine under a lower fence than one before

    Examples:
      | counts      | orders |
      | counts      | no     |
      | leaves out  | some   |

  Scenario: The clock of the running system counts suspended time
    Given an operating system whose machine was suspended for 10 seconds
    Then the clock of the running system has advanced by them
