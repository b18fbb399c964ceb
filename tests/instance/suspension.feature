Feature: A machine that was suspended knows that time went by

  A machine may stand still for seconds with all its processes. The steady clock of the
  operating system does not count them, the store and all other instances do. The owner
  of a zone that stood still for 10 seconds took its lease of 7 for valid behind that,
  and gave an engine two orders under fence 7, which the next owner had ordered under 24.

  Scenario Outline: The clock of the instances <counts> suspended time
    Given instances whose clock <counts> suspended time
    And an installation with instances a and b in zone z1 and c in zone z2
    And engines e1 and e2 in z1 and e3 in z2, and plain endpoints p1 in z1 and p2 in z2
    When the owner of z1 is suspended for 10 seconds while calls want loads
    Then <orders> orders reach an engine under a lower fence than one before

    Examples:
      | counts      | orders |
      | counts      | no     |
      | leaves out  | some   |

  Scenario: The clock of the running system counts suspended time
    Given an operating system whose machine was suspended for 10 seconds
    Then the clock of the running system has moved on by them
