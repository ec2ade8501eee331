Feature: Admission of calls by the desired state in force

  Scenario: A node without a desired state refuses calls with a Retry-After
    # A node without a state must not answer 404: the route may exist. It has none if it
    # starts while the store is unreachable.
    Given no desired state
    When a call for "shop.example/a/b" with the key "k1" arrives
    Then it is refused with 503 and a Retry-After

  Scenario: The Retry-After of a node without a state depends on the caller's time budget
    # With one constant Retry-After, callers that retry once came back after 0.3 s, were
    # refused again and gave up, while the store was unreachable for 2 s more.
    Given no desired state
    When 200 callers with a time budget of 12000 ms are refused
    Then they are to retry after 1200 to 2500 ms, spread over that range
    When 200 callers with a time budget of 1500 ms are refused
    Then they are to retry after 200 to 450 ms, spread over that range

  Scenario Outline: Routes and API keys
    Given a desired state with the routes "/a/", "/a/b/" and a public "/p/" of "shop.example"
    When a call for "<target>" with the key "<key>" arrives
    Then its result is "<result>"

    Examples:
      | target               | key | result      |
      | shop.example/a/x     | k1  | route /a/   |
      | SHOP.example/a/b/x   | k1  | route /a/b/ |
      | shop.example/a/b     | k1  | route /a/   |
      | shop.example/a/b/x   | no  | status 401  |
      | shop.example/p/x     |     | route /p/   |
      | shop.example/c/      | k1  | status 404  |
      | other.example/a/     | k1  | status 404  |

  Scenario: A team's priority overrides the route's
    Given a desired state with the routes "/a/", "/a/b/" and a public "/p/" of "shop.example"
    When a call for "shop.example/a/x" with the key "k2" arrives
    Then its priority is 0

  Scenario: The shorter of the route's timeout and the caller's time budget applies
    Given a desired state with the routes "/a/", "/a/b/" and a public "/p/" of "shop.example"
    When a call for "shop.example/a/x" with the key "k1" and a time budget of 300 ms arrives
    Then its deadline is 300 ms after its arrival

  Scenario Outline: Size limits for callers' requests
    Given a desired state with the routes "/a/", "/a/b/" and a public "/p/" of "shop.example"
    When a call with a head of <head> bytes and a body of <body> bytes arrives
    Then its result is "<result>"

    Examples:
      | head  | body    | result     |
      | 16384 | 4194304 | route /a/  |
      | 16385 | 0       | status 431 |
      | 200   | 4194305 | status 413 |
