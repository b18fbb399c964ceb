Feature: Settings are documented, checked and named in what is wrong with them

  Scenario Outline: A bad setting is found by a check with a stable id
    When the settings are checked with <name> as "<value>"
    Then the findings are <ids> and name "<name>"

    Examples:
      | name             | value           | ids           |
      | http             | localhost:80    | settings.E001 |
      | peer             | 127.0.0.1       | settings.E001 |
      | platform         | 127.0.0.1:x     | settings.E001 |
      | seeds            | 127.0.0.1:1,b:2 | settings.E001 |
      | statsd           | statsd:8125     | settings.E001 |
      | heartbeat_period | -1              | settings.E002 |
      | most_body        | 0               | settings.E002 |
      | router           | random          | settings.E003 |
      | evictor          | oldest          | settings.E003 |
      | engine_api       | none            | settings.E003 |
      | instance         | a#b             | settings.E004 |
      | zone             | a/b             | settings.E004 |
      | suspicion        | 0.5             | settings.E005 |
      | ready            | localhost:1     | settings.E001 |
      | interface        | telnet          | settings.E006 |
      | log_format       | xml             | settings.E006 |

  Scenario: The defaults are good
    When the default settings are checked
    Then there are no findings

  Scenario Outline: Both programs refuse a bad setting with its id and an exit code
    When <program> runs with <variable> as "<value>"
    Then it exits with 78 and prints "<printed>"

    Examples:
      | program           | variable          | value        | printed                   |
      | roadliftd --check | ROADLIFT_HTTP     | localhost:80 | settings.E001             |
      | roadliftd         | ROADLIFT_ZONE     | a/b          | settings.E004             |
      | roadliftd --check | ROADLIFT_GRACE    | soon         | float was expected        |
      | roadliftd --check | ROADLIFT_HTPP     | 1            | there is no such setting  |
      | roadlift check    | ROADLIFT_EVICTOR  | oldest       | settings.E003             |
      | roadliftd --check | ROADLIFT_PLUGINS  | nowhere      | is not a folder           |
      | roadliftd --check | ROADLIFT_NODE_FILE | nowhere.json | settings.E000            |
      | roadliftd --check --interface routes | ROADLIFT_ADAPTER | none | settings.E003 |

  Scenario Outline: The reference pages are those of the code
    Then the page <page> is what the code renders

    Examples:
      | page        |
      | settings.md |
      | errors.md   |
      | metrics.md  |
      | logs.md     |
      | checks.md   |
      | messages.md |

  Scenario: Every error has a code of its own and says what is known of the run
    Then each error's code is unique and each has an outcome and a status

  Scenario: Every documented setting exists as a flag of the daemon
    When roadliftd is asked for help
    Then the help names each setting's flag and variable

  Scenario: Metrics reach statsd with their names
    When a daemon's metrics are sent to a listening socket
    Then each datagram's names are documented

  Scenario Outline: Plug-ins are found by name, and unknown ones named
    When the <kind> "<name>" is asked for
    Then the plug-in is <found>

    Examples:
      | kind    | name           | found    |
      | router  | ring           | found    |
      | router  | hash           | found    |
      | router  | least_loaded   | found    |
      | router  | nothing        | unknown  |
      | evictor | recency        | found    |
      | evictor | aged_frequency | found    |
      | part    | gateway        | found    |
      | part    | nothing        | unknown  |

  Scenario Outline: A file of settings goes before the defaults and behind the variables
    When the daemon is checked with a file of <content>
    Then it exits with <code> and prints "<printed>"

    Examples:
      | content                        | code | printed                  |
      | {"zone": "z1"}                 | 0    | The settings are good.   |
      | {"interface": "routes", "adapter": "platform", "plugins": "platform/adapter"} | 0 | The settings are good. |
      | {"zone": "a/b"}                | 78   | settings.E004            |
      | {"grace": "soon"}              | 78   | float was expected       |
      | {"gracee": 1}                  | 78   | there is no such setting |
      | [1]                            | 78   | an object was expected   |
      | {"zone":                       | 78   | settings.E000            |

  Scenario: A variable goes before the file
    When the daemon is checked with a file of a bad zone and a good variable
    Then it exits with 0 and prints "The settings are good."

  Scenario Outline: A file that changes is read again, and a bad one changes nothing
    Given a file of settings with a grace of 3
    When the file becomes <content> and is <noticed>
    Then the grace is <grace>

    Examples:
      | content          | noticed    | grace |
      | {"grace": 5}     | signalled  | 5     |
      | {"grace": 5}     | looked at  | 5     |
      | {"grace": "x"}   | signalled  | 3     |
      | {"grace"         | signalled  | 3     |
      | nothing at all   | looked at  | 3     |

  Scenario: The daemon of routes starts, tells that it is not ready, and leaves
    When a daemon of routes runs without its platform
    Then it is not ready, and a call gets 503 at once
    And it ends with 0 after SIGTERM
