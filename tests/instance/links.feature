Feature: The updates of an owner fit a slow link

  Background:
    Given an installation with instances a and b in zone z1 and c in zone z2
    And engines e1 and e2 in z1 and e3 in z2, and plain endpoints p1 in z1 and p2 in z2

  Scenario: An owner whose link was busy catches up
    An instance with a link of 5 Mbit/s, among 79 instances, owned a zone for 13
    seconds and loaded almost nothing in that time: 20 to 29 reports of its engines a
    second failed with "connect timeout", and 702 loads in five seconds were denied as
    "unreachable". An adapter that was not loaded there was not served, however often
    it was requested, until another instance acquired the lease. Four times a second,
    the owner had sent all adapters of its engines to each instance that lacked any of
    its updates. That delayed the updates on the link until all instances lacked some;
    the answers of the engines were delayed as well.

    Given 24 more instances in z1, and 9 more engines, with 9 slots
    And 300 adapters that are called in turn, all the time
    When the owner of z1 has a link of 120000 bytes a second, which was busy for 1 second
    And 8 seconds pass
    Then what the owner sends leaves it within 0.3 seconds

  Scenario: An owner that reaches none of its engines releases its lease
    The path from an owner to the engines of its zone was cut, but not the path to the
    store. The owner renewed its lease for that whole time, and denied each load as
    "unreachable", while other instances of the zone reached the engines.

    Given an instance d in z1 with a link of 1000 Mbit/s, and e with one of 1000
    And 12 adapters that are called in turn at e and c, 10 calls a second
    When the owner of z1 is cut from all endpoints
    And 6 seconds pass
    Then z1 has another owner
    And 90 in 100 calls of 6 seconds are served
