Feature: Admission by the desired state in force

  Scenario: No desired state is known yet
    # Symptom: callers are told that their route does not exist, right after a restart.
    # Sequence: a node starts while the store is away and gets a call.
    # Cause: no state was taken for a state without routes.
    Given no desired state
    When a call for "shop.example/a/b" with the key "k1" comes
    Then it is refused with 503 and a time to return

  Scenario: Callers come back to a node without a state
    # Symptom: after an outage with a restart, callers are refused twice and give up.
    # Sequence: the store is away for 2 s more; callers come back after 0.3 s, once.
    # Cause: the time to return was one constant, whatever the caller could wait.
    Given no desired state
    When 200 callers that wait 12000 ms are refused
    Then they come back between 1200 and 2500 ms later, spread over that time
    When 200 callers that wait 1500 ms are refused
    Then they come back between 200 and 450 ms later, spread over that time

  Scenario Outline: Routes and keys
    Given a desired state with the routes "/a/", "/a/b/" and a public "/p/" of "shop.example"
    When a call for "<target>" with the key "<key>" comes
    Then its end is "<end>"

    Examples:
      | target               | key | end         |
      | shop.example/a/x     | k1  | route /a/   |
      | SHOP.example/a/b/x   | k1  | route /a/b/ |
      | shop.example/a/b     | k1  | route /a/   |
      | shop.example/a/b/x   | no  | status 401  |
      | shop.example/p/x     |     | route /p/   |
      | shop.example/c/      | k1  | status 404  |
      | other.example/a/     | k1  | status 404  |

  Scenario: A team's priority goes before the route's
    Given a desired state with the routes "/a/", "/a/b/" and a public "/p/" of "shop.example"
    When a call for "shop.example/a/x" with the key "k2" comes
    Then its priority is 0

  Scenario: The shorter of the two limits ends a call
    Given a desired state with the routes "/a/", "/a/b/" and a public "/p/" of "shop.example"
    When a call for "shop.example/a/x" with the key "k1" comes that waits 300 ms
    Then it ends 300 ms after its arrival

  Scenario Outline: The operator limits what a caller may send
    Given a desired state with the routes "/a/", "/a/b/" and a public "/p/" of "shop.example"
    When a call with a head of <head> bytes and a body of <body> bytes comes
    Then its end is "<end>"

    Examples:
      | head  | body    | end        |
      | 16384 | 4194304 | route /a/  |
      | 16385 | 0       | status 431 |
      | 200   | 4194305 | status 413 |
