Feature: Messages between instances over real sockets

  Scenario: A path that goes silent for good is replaced
    Given an instance that sends to another one through a proxy
    Then a message comes through
    When the proxy holds all that its open connections carry, without a reset
    Then a message sent later comes through within 6 seconds
