Feature: A call runs only in the regions that its route and its organisation allow

  Scenario Outline: A route at home in <route>, an organisation at home in <organisation>
    Given 2 instances in z1 of north and z2 of south, with endpoints in both
    And the route is at home in <route>, and the organisation in <organisation>
    When 30 calls of each kind arrive in each zone
    Then they run in <zones>, or are <refused>

    Examples: Both bind; a list that is empty or missing binds nothing
      | route        | organisation | zones  | refused          |
      | nothing      | nothing      | z1, z2 | -                |
      | no region    | nothing      | z1, z2 | -                |
      | north        | nothing      | z1     | -                |
      | nothing      | south        | z2     | -                |
      | north, south | south        | z2     | -                |
      | north        | north        | z1     | -                |
      | north        | south        | -      | home_unavailable |
      | east         | nothing      | -      | home_unavailable |
      | east, south  | nothing      | z2     | -                |

  Scenario: A call whose home has no endpoint left is refused at once
    Given 2 instances in z1 of north and z2 of south, with endpoints in both
    And the route is at home in north, and the organisation in nothing
    When the endpoints of z1 are gone
    And 30 calls of each kind arrive in each zone
    Then they run in -, or are home_unavailable

  Scenario: A call that an endpoint at home fails is not sent again elsewhere
    Given 2 instances in z1 of north and z2 of south, with endpoints in both
    And the route is at home in north, and the organisation in nothing
    When the endpoints of z1 answer 503 to the next 60 calls
    And 30 calls of each kind arrive in each zone
    Then no call ran in z2

  Scenario: Calls prefer their own region while it has room
    Given 2 instances in z1 of north and z2 of south, with endpoints in both
    And the route is at home in nothing, and the organisation in nothing
    When 30 calls of each kind arrive in z1
    Then 29 in 30 plain calls run in z1

  Scenario Outline: A configuration with homes that are <fault> is refused whole
    When a configuration with homes that are <fault> is read
    Then the route has invalid_configuration

    Examples:
      | fault             |
      | a text            |
      | a list of numbers |
      | an empty name     |
