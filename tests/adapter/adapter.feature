Feature: The platform's names and formats are read and written in one place

  Scenario Outline: A caller's request is read
    When a request with <headers> is read
    Then the field <field> is <value>

    Examples:
      | headers                           | field        | value                         |
      | Request-Id: 9c41                  | id           | 9c41                          |
      | Request-Id: 9c41                  | time_limit   | None                          |
      | Deadline-Ms: 1500                 | time_limit   | 1.5                           |
      | Deadline-Ms: -5                   | time_limit   | 0.0                           |
      | Deadline-Ms: soon                 | error        | invalid_request               |
      | Roadlift-Runs: 2                  | runs         | 2                             |
      | Roadlift-Runs: -1                 | error        | invalid_request               |
      | Roadlift-Runs: two                | error        | invalid_request               |
      | Model: m/a3                       | model        | m/a3                          |
      | Model: m                          | model        | m                             |
      | Token-Count: 1460,80              | tokens_in    | 1460                          |
      | Token-Count: 1460,80              | tokens_out   | 80                            |
      | Token-Count: 1460                 | error        | invalid_request               |
      | Prompt-Prefix: 5c:800,91:410      | prompt       | 5c 800, 91 410                |
      | Prompt-Prefix: 5c                 | error        | invalid_request               |
      | Last-Event-Id: 7                  | resume_after | 7                             |
      | Resumes: 9c41                     | resumes      | 9c41                          |
      | Resumes: 9c41                     | headers      | request-id, resumes           |
      | X-Other: 1                        | headers      | request-id, x-other           |
      | Kv-From: a                        | headers      | request-id                    |
      | Hold: a                           | headers      | request-id                    |
      | Connection: X-Mine                | headers      | request-id                    |
      | nothing                           | error        | invalid_request               |

  Scenario Outline: An answer's head is judged
    When a runner answers <status> with <headers>
    Then the verdict is <verdict>

    Examples:
      | status | headers       | verdict        |
      | 200    | Server-Stamp  | succeeded      |
      | 204    | Server-Stamp  | succeeded      |
      | 200    | nothing       | failed         |
      | 500    | Server-Stamp  | failed         |
      | 503    | Not-Run       | not_run        |
      | 429    | Not-Run       | not_run        |
      | 503    | nothing       | failed         |
      | 421    | nothing       | wrong_endpoint |
      | 302    | Server-Stamp  | failed         |

  Scenario Outline: The limit that a runner names is read
    When the limit is read of an answer with <headers>
    Then the limit is <limit>

    Examples: What is no rate is an error, of several the least counts
      | headers                | limit         |
      | nothing                | None          |
      | Server-Stamp           | None          |
      | Server-Limit: 8.9      | 8.9           |
      | Server-Limit: 0.25     | 0.25          |
      | Server-Limit: 0        | 0.0           |
      | Server-Limit: 1e30     | 1e+30         |
      | Server-Limit: inf      | inf           |
      | Server-Limit: 8, 4.5   | 4.5           |
      | Server-Limit: 8, many  | invalid_limit |
      | Server-Limit: -1       | invalid_limit |
      | Server-Limit: nan      | invalid_limit |
      | Server-Limit: nan, 4   | invalid_limit |
      | Server-Limit: 4, nan   | invalid_limit |
      | Server-Limit: ,        | invalid_limit |
      | Server-Limit: many     | invalid_limit |

  Scenario Outline: What a runner says of itself is read
    When it is read what an answer <status> with <headers> says of its runner
    Then it says for <field>: <value>

    Examples: Leaving binds for good, so what is no number counts as said
      | status | headers                | field      | value                |
      | 200    | nothing                | is_leaving | False                |
      | 200    | Server-Leaving: 1      | is_leaving | True                 |
      | 421    | Server-Leaving: 1      | is_leaving | True                 |
      | 500    | Server-Leaving: 1, 1   | is_leaving | True                 |
      | 503    | Server-Leaving: 0, 1   | is_leaving | True                 |
      | 200    | Server-Leaving: 0      | is_leaving | False                |
      | 200    | Server-Leaving: true   | is_leaving | invalid_leaving True |

    Examples: A rest is of who is turned away, and the longest counts
      | status | headers                    | field | value        |
      | 503    | nothing                    | rest  | 0.0          |
      | 503    | Retry-After: 3             | rest  | 3.0          |
      | 503    | Retry-After: 0.25          | rest  | 0.25         |
      | 429    | Retry-After: 3             | rest  | 3.0          |
      | 421    | Retry-After: 3             | rest  | 0.0          |
      | 500    | Retry-After: 3             | rest  | 0.0          |
      | 200    | Retry-After: 3             | rest  | 0.0          |
      | 503    | Retry-After: 0             | rest  | 0.0          |
      | 503    | Retry-After: 1, 4          | rest  | 4.0          |
      | 503    | Retry-After: 1e9           | rest  | 1000000000.0 |
      | 503    | Retry-After: -1            | rest  | invalid_rest |
      | 503    | Retry-After: nan           | rest  | invalid_rest |
      | 503    | Retry-After: inf           | rest  | invalid_rest |
      | 503    | Retry-After: soon          | rest  | invalid_rest |
      | 503    | Retry-After: 3, soon       | rest  | invalid_rest |
      | 503    | Retry-After: Thu, 03 Dec 2026 08:00:00 GMT | rest | invalid_rest |

    Examples: Rejections that it bears, of which the least number counts
      | status | headers                | field           | value                       |
      | 200    | nothing                | rejection_limit | None                        |
      | 200    | Server-Brittle: 3      | rejection_limit | 3.0                         |
      | 503    | Server-Brittle: 0      | rejection_limit | 0.0                         |
      | 421    | Server-Brittle: 8, 2   | rejection_limit | 2.0                         |
      | 200    | Server-Brittle: inf    | rejection_limit | None                        |
      | 200    | Server-Brittle: -1     | rejection_limit | invalid_rejection_limit     |
      | 200    | Server-Brittle: few    | rejection_limit | invalid_rejection_limit     |

  Scenario Outline: A header that no table lists is told apart
    When it is read what an answer 200 with <header> says of its runner
    Then the headers unknown are <names>

    Examples:
      | header               | names         |
      | Server-Stamp         | none          |
      | Cache-Control: no    | none          |
      | Server-Tired: 1      | server-tired  |

  Scenario Outline: A runner's answer says for how long it stays cold
    When it is read what an answer 200 with <header> says of its runner
    Then it says for cold_time: <value>

    Examples:
      | header                | value             |
      | nothing               | None              |
      | Cold-Ms: 0            | 0.0               |
      | Cold-Ms: 2500         | 2.5               |
      | Cold-Ms: 500, 2500    | 2.5               |
      | Cold-Ms: -1           | invalid_cold_time |
      | Cold-Ms: nan          | invalid_cold_time |
      | Cold-Ms: inf          | invalid_cold_time |
      | Cold-Ms: long         | invalid_cold_time |

  Scenario Outline: The operator's row of an evacuation is read
    When the operator's row <key> with <value> is read
    Then the evacuation is <result>

    Examples: The key alone is the request
      | key           | value     | result                |
      | evacuate/z1   | {}        | z1 begins             |
      | evacuate/z1   | 7         | z1 begins             |
      | evacuate/z1   | no JSON   | z1 begins             |
      | evacuate/z1   | nothing   | z1 ends               |
      | evacuate/a/b  | {}        | a/b begins            |
      | evacuate/     | {}        | invalid_configuration |
      | evacuated     | {}        | none                  |
      | config        | {}        | none                  |

  Scenario Outline: A service's rate while its runners are cold is read
    When a configuration with <change> is read
    Then the cold rate is <rate>

    Examples:
      | change                   | rate                  |
      | nothing special          | 0.0                   |
      | 17.5 as its cold rate    | 17.5                  |
      | 0 as its cold rate       | 0.0                   |
      | -1 as its cold rate      | invalid_configuration |
      | a text as its cold rate  | invalid_configuration |
      | 1e99 as its cold rate    | invalid_configuration |

  Scenario Outline: A cold runner's entry is read
    When an entry with <change> is read
    Then it is cold for <seconds> seconds

    Examples: What can't be read says nothing, and the entry stays good
      | change                   | seconds |
      | nothing special          | 0       |
      | 1500 as its coldLeftMs   | 1.5     |
      | 0 as its coldLeftMs      | 0       |
      | -5 as its coldLeftMs     | 0       |
      | text as its coldLeftMs   | 0       |
      | true as its coldLeftMs   | 0       |
      | null as its coldLeftMs   | 0       |

  Scenario Outline: The version of a runner's software is read
    When an entry with <change> is read
    Then its software is <software>
    And the entry is ready with m

    Examples: What can't be read is no version, and the entry stays good
      | change              | software              |
      | nothing special     | none                  |
      | v1.2 as its version | v1.2                  |
      | 7 as its version    | 7                     |
      | null as its version | none                  |
      | empty text as its version | none            |
      | true as its version | unknown |
      | a fraction as its version | 1.5 |
      | numbers as its version | unknown |
      | a long text as its version | unknown |

  Scenario Outline: A configuration is read
    When a configuration with <change> is read
    Then the route has <result>

    Examples:
      | change                                   | result                              |
      | nothing special                          | timeout 5.0 and services b 1        |
      | two targets                              | timeout 5.0 and services b 90, c 10 |
      | a kind that is unknown                   | invalid_configuration               |
      | no routes                                | invalid_configuration               |
      | text in place of JSON                    | invalid_configuration               |

  Scenario Outline: An entry of the directory is read
    When an entry with <change> is read
    Then the entry is <result>

    Examples:
      | change                | result                |
      | nothing special       | ready with m          |
      | the state draining    | draining with m       |
      | 1500 ms remaining     | ready with m, 1.5 s left |
      | no models             | ready with nothing    |
      | a name as its address | invalid_configuration |
      | no address            | invalid_configuration |

  Scenario Outline: An entry of another writer names no runner to use
    When an entry with <fault> is read
    Then the entry is invalid_configuration

    Examples: Fields missing, empty, or of another type
      | fault                     |
      | no backend                |
      | no addr                   |
      | no zone                   |
      | no slots                  |
      | no state                  |
      | null as its backend       |
      | null as its addr          |
      | null as its zone          |
      | null as its slots         |
      | null as its state         |
      | a number as its backend   |
      | a number as its addr      |
      | a number as its zone      |
      | a number as its state     |
      | a list as its zone        |
      | an object as its addr     |
      | text as its slots         |
      | a fraction as its slots   |
      | true as its slots         |
      | text as its models        |
      | numbers as its models     |
      | empty text as its zone    |
      | text as its remainingMs   |
      | text as its born          |
      | a fraction as its born    |

    Examples: Out of range, or not named
      | fault                     |
      | 0 as its slots            |
      | -1 as its slots           |
      | 10000000 as its slots     |
      | -1 as its remainingMs     |
      | -1 as its born            |
      | an unnamed state          |
      | a port too large          |
      | address 10.0.0.1:65536    |
      | address 10.0.0.1:0        |
      | address 10.0.0.1:-1       |
      | address 10.0.0.1:8_0      |
      | address 10.0.0.1:+80      |
      | address 10.0.0.1:٨٠       |
      | address 10.0.0.1 x:80     |
      | address 010.0.0.1:80      |
      | address 10.0.1:80         |
      | half of a pair as its zone |
      | half of a pair as its backend |
      | a long text as its zone   |

    Examples: No document at all
      | fault                     |
      | bytes that are no text    |
      | bytes that are no document |
      | a document that is cut    |
      | a document that is a list |
      | a document that is null   |
      | nothing in it             |
      | 1 MiB of spaces           |
      | lists nested 20000 deep   |

  Scenario Outline: A runner that starts again under its name is another one
    When an entry with <change> is read
    Then its id is <id>, and the runner is asked for as <name>

    Examples:
      | change          | id       | name |
      | nothing special | i-1      | i-1  |
      | 1700 as its born | i-1@1700 | i-1  |

  Scenario Outline: Documents changed at random raise nothing but their errors
    Then 500 random changes of <document> with seed <seed> are read or refused

    Examples:
      | document        | seed |
      | an entry        | 1    |
      | an entry        | 2    |
      | a configuration | 3    |
      | a version       | 4    |
      | a report        | 5    |
      | a lease         | 6    |

  Scenario Outline: A report is read
    When a report with <change> is read
    Then the report says <result>

    Examples:
      | change          | result                                       |
      | nothing special | 4 accepted, holds m/a3@2, m/a4@0, arriving m/a5@1 |
      | status 503      | endpoint_failed                              |
      | no sequence     | endpoint_failed                              |
      | half of a pair as its model | endpoint_failed                  |
      | half of a pair as its adapter | endpoint_failed                |
      | text as its sequence | endpoint_failed                         |
      | 1e999 as its sequence | endpoint_failed                        |

  Scenario Outline: An answer to an order is judged
    Then an order that is answered <status> is <result>

    Examples:
      | status | result         |
      | 200    | done           |
      | 202    | accepted       |
      | 400    | invalid        |
      | 409    | conflict       |
      | 412    | fenced         |
      | 421    | wrong_endpoint |
      | 500    | unknown        |
      | 503    | unknown        |

  Scenario: An order names all that makes it safe to come late
    Then an order to load carries what the protocol asks for

  Scenario: The names of the platform stand in its folder alone
    Then no name of the platform's wire stands outside its folder and the tests

  Scenario: The requirements of the deployment are those of the project
    Then deploy/requirements.txt lists what pyproject.toml does

  Scenario: The template gives settings that pass the checks
    When the template is filled with the values of an example
    Then its settings have no findings

  Scenario: The template gives the limits on keys and allowances where there are some
    When the template is filled with the values of an example with organisations
    Then its settings have no findings
    And the setting revoke_ms is 5000
    And the setting allowance_over is 0.1
    And the setting allowance_slack is 110000
    And the setting allowance_window is 8

  Scenario Outline: A caller's key is read as its digest
    When a request with Authorization: <field> is read
    Then its key is that of <key>

    Examples:
      | field           | key        |
      | Token abc       | abc        |
      | token abc       | abc        |
      | TOKEN   abc     | abc        |
      | Token abc, Token d | abc, Token d |
      | Bearer abc      | nobody     |
      | abc             | nobody     |
      | Token           | an empty text |

  Scenario Outline: The organisations of a configuration are read
    When a configuration with <change> is read
    Then its organisations are <result>

    Examples:
      | change                        | result                                       |
      | nothing special               | none in use                                  |
      | no tenant                     | nobody                                       |
      | a tenant                      | t 2 keys priority 1 tokens 5.0 + 7.0 plain 200 |
      | a tenant without an allowance | t 2 keys priority None                       |
      | a tenant counted in requests  | t 2 keys priority 1 calls 5.0 + 7.0 plain 200 |
      | a tenant without a name       | invalid_configuration                        |
      | a tenant whose key is a number | invalid_configuration                       |
      | tenants that are a text       | invalid_configuration                        |

  Scenario Outline: What is passed on of a configuration holds no key
    When a configuration with <change> is concealed
    Then it holds no key, and is read as the same organisations

    Examples:
      | change                        |
      | a tenant                      |
      | a tenant without an allowance |

  Scenario: A table of several pages is known as of its first page
    Given a table of 3 rows that is read in pages of 2
    When a row of the first page changes while the second is read
    Then the table is as of the version and the time before the first page
