@fleet
Feature: Operators drive everything with the command-line tool

  Scenario Outline: Every command's help says what it does
    When the tool runs "<command> --help"
    Then it exits with 0 and prints "<printed>"

    Examples:
      | command        | printed                                   |
      |                | bundle                                    |
      | bundle         | propose                                   |
      | bundle propose | Check a bundle file and propose it        |
      | bundle sign    | as another operator than its proposer     |
      | bundle roll    | Wait until it is in force in each         |
      | bundle status  | in how many instances                     |
      | bundle show    | Print the bundle in force as a bundle     |
      | bundle diff    | what a bundle file would change           |
      | instances      | as one of them sees the others            |
      | endpoints      | copies, pins and queues                   |
      | burn           | burns its error budget                    |
      | check          | stand in environment variables            |
      | explain        | what became of a request                  |
      | unserved       | the adapters that were never served       |
      | barred         | what is refused for ends of endpoints     |
      | unbar          | Let work in again                         |
      | zones          | which zones are evacuated                 |

  Scenario: A session from proposal to report
    Given a platform, an engine and 2 instances in 2 zones
    And a bundle file
    When the tool runs "bundle propose FILE --operator ann --platform PLATFORM"
    Then it exits with 0 and prints "roadlift bundle sign"
    When the tool signs and rolls what was proposed and waits
    Then it exits with 0 and prints "in force: a 1/1, b 1/1"
    When the tool runs "bundle status --platform PLATFORM --entry ENTRY"
    Then it exits with 0 and prints "Bundle 1"
    When the tool runs "bundle diff FILE --platform PLATFORM"
    Then it exits with 0 and prints "WHAT"
    When the tool runs "bundle show --platform PLATFORM"
    Then it exits with 0 and prints "adapters"
    When the tool runs "instances --entry ENTRY"
    Then it exits with 0 and prints "alive"
    When the tool runs "instances --entry ENTRY --json"
    Then it exits with 0 and prints JSON with "members"
    When a few calls are sent
    And the tool runs "endpoints --entry ENTRY"
    Then it exits with 0 and prints "engine-1"
    When the tool runs "burn --entry ENTRY --html PAGE"
    Then it exits with 0 and prints "captions"
    And the page stands alone and has a plot for each service

  Scenario Outline: What can't be done is said with its code
    Given a platform, an engine and 2 instances in 2 zones
    When the tool runs "<command>"
    Then it exits with <exit> and prints "<printed>"

    Examples:
      | command                                        | exit | printed                  |
      | bundle propose /nothing --platform PLATFORM    | 1    | invalid_bundle: /nothing |
      | bundle roll 0123 --platform PLATFORM           | 1    | invalid_bundle           |
      | bundle status --platform 127.0.0.1:1           | 69   | platform_unavailable     |
      | instances --entry nowhere                      | 1    | improperly_configured    |
