Feature: What an owner tells fits a weak link

  Background:
    Given an installation with instances a and b in zone z1 and c in zone z2
    And engines e1 and e2 in z1 and e3 in z2, and plain endpoints p1 in z1 and p2 in z2

  Scenario: An owner whose link was busy does not fall behind for good
    A zone was owned for 13 seconds by an instance with a link of 5 Mbit/s, among 79
    instances, and loaded next to nothing meanwhile: 20 to 29 of its engines' reports
    a second failed with "connect timeout", and 702 loads in five seconds were denied
    as "unreachable". An adapter that was not loaded there was not served, however
    often it was asked for, until the lease went elsewhere. The owner had answered each
    instance that lacked any of its news with all that its engines hold, four times a
    second. That kept the news on the link for so long that all lacked some, and the
    answers of its engines as well.

    Given 24 more instances in z1, and 9 more engines, with 9 slots
    And 300 adapters that are called in turn, all the time
    When the owner of z1 has a link of 120000 bytes a second, which was busy for 1 second
    And 8 seconds pass
    Then what the owner sends leaves it within 0.3 seconds

  Scenario: An owner that reaches none of its engines gives its lease back
    The path from an owner to the engines of its zone was cut, the one to the store was
    not. It renewed its lease for as long as that lasted, and denied each load as
    "unreachable"; other instances of the zone reached the engines all the while.

    Given an instance d in z1 with a link of 1000 Mbit/s, and e with one of 1000
    And 12 adapters that are called in turn at e and c, 10 calls a second
    When the owner of z1 is cut from all endpoints
    And 6 seconds pass
    Then z1 has another owner
    And 90 in 100 calls of 6 seconds are served
