Feature: An instance knows the memory and the descriptors of its machine

  Scenario Outline: Settings of <memory> MB and <descriptors>, resource limits of <resident> MB and <files>
    Guards against an amount for callers that the machine does not have.

    When a process reads its machine with these settings and resource limits
    Then it may use <known> MB and <open> descriptors

    Examples:
      | memory | descriptors | resident | files | known       | open |
      | 0      | 0           | none     | 700   | the machine | 700  |
      | 300    | 0           | none     | 700   | 300         | 700  |
      | 300    | 500         | 200      | 700   | 200         | 500  |
      | 150    | 900         | 200      | 700   | 150         | 700  |
      | 0      | 0           | 200      | 700   | 200         | 700  |

  Scenario: The deploy file passes the platform's limits on
    When the platform fills the deploy file's template in with 250 MB and 4100 descriptors
    Then the settings of the instance say 250 MB and 4100 descriptors

  Scenario: A platform that tells no limits leaves them to the machine
    When the platform fills the deploy file's template in without limits
    Then the settings of the instance leave both to the machine
