Feature: A call under which engines end is not run for ever

  Two streams came again and again, each time under another id, at any instance. The
  engine that began to run one ended 0.1 seconds later, with all that ran there and all
  that it held: "stream_cut: i-bece3ddb38: closed early, got=head" at seven instances,
  10 and 12 engines in all, 4 and 8 of them behind the third, and up to 30 in 100 of all
  calls of a second failed. Each instance judged each call by itself, and the same call
  under another id was a new one, so nothing counted the ends.

  Background:
    Given instances a, b and d in zone z1 and c, f and g in zone z2, and 9 engines

  Scenario Outline: <calls> end few engines where <trouble>
    Given callers of 20 adapters, 25 calls a second
    And engines begin <again> when they are back
    When <calls> are sent while <trouble>
    Then no deadly call ran more than 3 times later than 3 seconds behind its third end
    And <engines> engines ended at most
    And <least> in 100 of the other calls were served

    Examples:
      | calls                                    | trouble                              | again               | engines | least |
      | a deadly call at one instance            | nothing happens                      | under new names     | 2       | 97    |
      | a deadly call at all instances in turn   | nothing happens                      | under new names     | 2       | 97    |
      | a deadly call at all instances in turn   | nothing happens                      | under the same name | 2       | 97    |
      | a deadly call at three instances at once | nothing happens                      | under new names     | 2       | 97    |
      | three deadly calls at instances in turn  | nothing happens                      | under new names     | 6       | 95    |
      | a deadly call at all instances in turn   | zones hear nothing of each other     | under new names     | 3       | 95    |
      | a deadly call at all instances in turn   | the owner of z1 is killed            | under new names     | 3       | 95    |
      | a deadly call at all instances in turn   | all instances are killed and restart | under new names     | 3       | 90    |
      | a deadly call at all instances in turn   | the store is silent                  | under new names     | 2       | 95    |
      | a deadly resumable call, at all in turn  | nothing happens                      | under new names     | 2       | 97    |
      | a deadly plain call at instances in turn | nothing happens                      | under new names     | 3       | 97    |

  Scenario: A call that waits at an engine when it is known is withdrawn
    Copies of a deadly call that waited at an engine for three seconds ended it long after
    the call was known to be deadly: 4 engines ended, the last of them 3 seconds behind the
    others.

    Given callers of 20 adapters, 25 calls a second
    And engines let calls wait for 3 seconds
    When a deadly call at three instances at once are sent while nothing happens
    Then 3 engines ended at most

  Scenario: Calls that only ran where engines ended are served
    Given callers of 20 adapters, 25 calls a second
    When engines end one by one for 12 seconds, each 2 seconds
    Then no call was refused for the ends of engines
    And 85 in 100 of the other calls were served

  Scenario: A call that is asked for by many, and is served, is not refused
    Given callers of 20 adapters, 25 calls a second
    And a call that all callers ask for, 25 times a second
    When engines end one by one for 12 seconds, each 2 seconds
    Then no call was refused for the ends of engines

  Scenario: An adapter whose weights end each engine that loads it is not ordered for ever
    Each asking for such an adapter went to the next engine: 23 engines ended in 12 seconds,
    as each call that waits asks anew when its engine is gone.

    Given callers of 20 adapters, 25 calls a second
    When an adapter whose weights end engines is asked for, each 0.45 seconds
    Then 3 engines ended for its weights at most
    And 95 in 100 of the other calls were served

  Scenario: A row that breaks an instance does not end what the instance reads
    Given a configuration that breaks what takes it
    Then the next configuration is in force everywhere 2 seconds later
