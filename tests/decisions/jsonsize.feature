Feature: What a JSON text takes as objects is estimated before it is parsed

  Scenario Outline: <count> times <text>
    Guards against a body inside the limit whose objects do not fit into the memory.

    When a JSON list holds <count> times <text>
    Then its estimate is at least what Python takes for it, and at most <times> times its bytes

    Examples:
      | text                       | count  | times |
      | []                         | 100000 | 50    |
      | {}                         | 100000 | 50    |
      | 7                          | 100000 | 38    |
      | 1234                       | 100000 | 16    |
      | {"a":[1]}                  | 30000  | 30    |
      | "a prompt, with commas"    | 10000  | 10    |
