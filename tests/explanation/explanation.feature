Feature: Logs alone tell what became of a request

  Log lines are "SECONDS INSTANCE EVENT FIELD=VALUE ..."; steps are
  "STEP@SECONDS FIELD=VALUE" behind a "|".

  Scenario Outline: The cause of a failure is found
    Given the log lines
      """
      <lines>
      """
    When request r1 is explained
    Then its outcome is <outcome>
    And a cause is "<cause>"

    Examples: Calls that waited for their adapter
      | lines | outcome | cause |
      | 9 b lease_lost zone=z1 reason=late ; 10.5 a call_ended request=r1 outcome=refused error=no_owner_can_load seconds=1 model=m/x \| wait@0 | refused | zone z1 had no owner (lease_lost at b) |
      | 9 b order endpoint=e1 model=m/y result=unknown ; 9.2 b order endpoint=e1 model=m/y result=accepted ; 10.5 a call_ended request=r1 outcome=served seconds=1 model=m/x \| wait@0, ask@0 endpoint=e1, loaded@0.9, send@0.9 endpoint=e1 | served | 1 of 2 orders to its engines got no answer |
      | 10 b report_failed endpoint=e1 error=refused ; 10.5 a call_ended request=r1 outcome=cancelled seconds=1 model=m/x \| wait@0, ask@0 endpoint=e1 | cancelled | e1 can't be reached by its owner |
      | 10 b load_denied endpoint=e1 model=m/x ; 10.5 a call_ended request=r1 outcome=refused seconds=1 model=m/x \| wait@0, ask@0 endpoint=e1 | refused | engines were full of adapters in use: 1 denials |
      | 10 b load_denied endpoint=e1 model=m/other ; 10.5 a call_ended request=r1 outcome=refused seconds=1 model=m/x \| wait@0, ask@0 endpoint=e1 | refused | its adapter was not loaded yet |

      | 9 b lease_lost zone=z1 reason=late ; 9.1 c lease_gained zone=z1 ; 10.5 a call_ended request=r1 outcome=refused seconds=1 model=m/x \| wait@0 | refused | its adapter was not loaded yet |
      | 9 c lease_gained zone=z1 ; 9.1 b lease_lost zone=z1 reason=taken ; 10.5 a call_ended request=r1 outcome=refused seconds=1 model=m/x \| wait@0 | refused | its adapter was not loaded yet |
      | 9 c lease_gained zone=z1 ; 10 c lease_released zone=z1 ; 10.5 a call_ended request=r1 outcome=refused seconds=1 model=m/x \| wait@0 | refused | zone z1 had no owner (lease_released at c) |
      | 9 b order endpoint=e1 action=unload model=m/y result=accepted ; 10.5 a call_ended request=r1 outcome=refused seconds=1 model=m/x \| wait@0, ask@0 endpoint=e1 | refused | its adapter was not loaded yet |
      | 9.6 b order endpoint=e1 action=unload model=m/y result=accepted ; 10.5 a call_ended request=r1 outcome=refused seconds=1 model=m/x \| wait@0, ask@0 endpoint=e1 | refused | an unload of m/y at e1 waited for its calls and held up the others |

    Examples: Calls that were sent
      | lines | outcome | cause |
      | 10 b send_failed request=r2 endpoint=e1 error=connection_lost:_reset ; 10.5 a call_ended request=r1 outcome=failed error=connection_lost seconds=1 \| send@0 endpoint=e1, failed@0.9 error=connection_lost:_reset | failed | other sends to e1 failed as well: 1 connection_lost |
      | 10 a call_ended request=r1 outcome=forwarded seconds=1 ; 10.5 b call_ended request=r1 outcome=failed error=endpoint_failed seconds=1 \| send@0 endpoint=e1, failed@0.9 error=endpoint_failed:_500 | failed | the call failed: endpoint_failed:_500 |
      | 10.5 a call_ended request=r1 outcome=failed error=endpoint_failed seconds=1 \| send@0 endpoint=e1, failed@0.9 error=endpoint_failed:_500 | failed | the call failed: endpoint_failed:_500 |
      | 10.5 a call_ended request=r1 outcome=cancelled error=connection_lost seconds=1 \| send@0 endpoint=e1 | cancelled | e1 did not answer in time |
      | 9.9 a send_silent request=r1 endpoint=e1 ; 10.5 a call_ended request=r1 outcome=cancelled error=connection_lost seconds=1 \| send@0 endpoint=e1, silent@0.4 endpoint=e1, kept@0.7 endpoint=e1 error=no_endpoint:_full | cancelled | the call failed: no_endpoint:_full |
      | 10 b endpoint_gone endpoint=e1 ; 10.5 a call_ended request=r1 outcome=failed error=cut seconds=1 \| send@0 endpoint=e1 | failed | e1: endpoint_gone |

    Examples: Requests that never became calls
      | lines | outcome | cause |
      | 9 a store_lost table=op error=timeout ; 10 a call_refused request=r1 error=no_configuration | refused | a can't read the store: timeout |
      | 10 a call_refused request=r1 error=unknown_key configuration=7 configuration_age=0.4 | refused | no organisation of configuration 7.0, known as of 0.4 s ago, holds its key |
      | 10 a call_refused request=r1 error=stale_configuration:_late configuration_age=4.7 | refused | a knew the configuration as of 4.7 s ago only |
      | 10 a call_refused request=r1 error=over_allowance organisation=red share=0.02 demand=900 news_age=0.2 | refused | organisation red asked for 900.0 a second here, where 0.02 of its allowance was free, by news 0.2 s old |
      | 10 a call_refused request=r1 error=no_route | refused | nothing else was logged that bears on it |
      | 8 b configuration_in_force version=20 ; 10 a call_refused request=r1 error=no_route configuration=17 | refused | configuration 17 was in force at a, and 20 at b since 2.0 s |
      | 7 a store_came_back_older era=2 before=1 ; 8 b configuration_in_force version=20 ; 10 a call_refused request=r1 error=no_route configuration=17 | refused | configuration 17 was in force at a, and 20 at b since 2.0 s, behind the store's return from an older copy |
      | 8 b configuration_in_force version=17 ; 10 a call_refused request=r1 error=no_route configuration=17 | refused | nothing else was logged that bears on it |

    Examples: Calls that the limits of endpoints left no room for
      | lines | outcome | cause |
      | 10.5 a call_ended request=r1 outcome=refused error=limit_reached:_service_llm seconds=1 \| limit@0 endpoint=e1 limit=4.3 named=0.2, full@0.1 endpoint=e1 wait=0.9 | refused | e1 takes 4.3 calls a second, named 0.2 s before, and had none free for 0.9 s |
      | 10.5 a call_ended request=r1 outcome=refused error=limit_reached:_service_llm seconds=1 \| slot@0 endpoint=e1, full@0.1 endpoint=e1 wait=0.3 | refused | e1 bears few rejections, and had no slot free for 0.3 s |
      | 10.5 a call_ended request=r1 outcome=refused error=limit_reached:_service_llm seconds=1 | refused | its endpoints name limits, and had none free when it came |

    Examples: Calls that endpoints wanted no more of
      | lines | outcome | cause |
      | 10.5 a call_ended request=r1 outcome=refused error=endpoints_resting:_service_llm seconds=1 \| rest@0 endpoint=e1 wait=2.1 | refused | e1 wanted no calls from a for 2.1 s more, and no other endpoint could run it |
      | 9 b endpoint_leaving endpoint=e1 service=llm ; 10.5 a call_ended request=r1 outcome=refused error=no_endpoint:_service_llm service=llm seconds=1 | refused | e1 had said that it leaves |

  Scenario: The story holds the request's own lines and what bears on them, in order
    Given the log lines
      """
      10.9 a call_ended request=r1 outcome=served seconds=1 model=m/x | wait@0, ask@0.1 endpoint=e1, loaded@0.5, send@0.5 endpoint=e1
      10.2 b order endpoint=e1 model=m/x result=accepted
      10.2 b order endpoint=e2 model=m/y result=accepted
      2.0 b lease_lost zone=z1 reason=old
      10.3 c endpoint_gone endpoint=e9
      10.4 c call_ended request=r2 outcome=served seconds=1
      """
    When request r1 is explained
    Then the story is "wait, ask, order, loaded, send, call_ended"

  Scenario: A request that no line names is unknown
    Given the log lines
      """
      10 a call_refused request=r1 error=no_route
      """
    When request r9 is explained
    Then it is said to be unknown

  Scenario Outline: Adapters that were never served are found
    Given the log lines
      """
      <lines>
      """
    When the unserved adapters are looked for with 2 calls over 8 seconds
    Then <found> are found

    Examples:
      | lines | found |
      | 1 a call_ended model=m/x outcome=refused ; 9 b call_ended model=m/x outcome=failed | 1 of 1: m/x |
      | 1 a call_ended model=m/x outcome=refused ; 9 b call_ended model=m/x outcome=served | 0 of 1: none |
      | 1 a call_ended model=m/x outcome=refused ; 9 b call_ended model=m/x outcome=failed ; 20 c adapters_served models=m/x,m/y | 0 of 2: none |
      | 1 a call_ended model=m/x outcome=refused ; 9 b call_ended model=m/x outcome=failed ; 20 c adapters_served models=m/y | 1 of 2: m/x |
      | 1 a call_ended model=m/x outcome=refused ; 8 b call_ended model=m/x outcome=failed | 0 of 0: none |
      | 1 a call_ended model=m/x outcome=refused | 0 of 0: none |
      | 1 a call_ended model=m outcome=refused ; 9 b call_ended model=m outcome=failed | 0 of 0: none |

  Scenario: An adapter that was never served is told with its reasons
    Given the log lines
      """
      1 a call_ended model=m/x outcome=refused sends=0 error=m/x_was_late
      2 b load_denied model=m/x endpoint=e1 reason=no_victim
      3 b load_denied model=m/x endpoint=e2 reason=no_victim
      4 b load_denied model=m/y endpoint=e1 reason=not_taken
      9 a call_ended model=m/x outcome=failed sends=1 error=lost
      """
    When the unserved adapters are looked for with 2 calls over 8 seconds
    Then its calls ended by "1 failed, sent: lost; 1 refused, not sent: .."
    And its loads were denied by "2 no_victim" at "1 e1; 1 e2"

  Scenario Outline: Lines that can't be read are counted and named
    When the text <text> is read as a log
    Then it holds <good> events, and <bad> bad lines

    Examples:
      | text                                                       | good | bad |
      | {"time": 1, "instance": "a", "event": "started"}           | 1    | 0   |
      | 12.5 a {"time": 1, "instance": "a", "event": "started"}    | 1    | 0   |
      | {"time": 1, "instance": "a", "message": "A sentence."}     | 0    | 0   |
      | {"time": 1, "instance": "a", "event": "sta                 | 0    | 1   |
      | {"time": "now", "instance": "a", "event": "started"}       | 0    | 1   |
      | {"instance": "a", "event": "started"}                      | 0    | 1   |
      | [1, 2]                                                     | 0    | 1   |
      | plain text                                                 | 0    | 1   |

  Scenario: The catalogue of events is what the code logs
    Then each event that the code logs stands in the catalogue with its fields
