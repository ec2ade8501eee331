Feature: Digests of requests

  Scenario Outline: Equal requests have equal digests, different requests do not
    Given the digest of a "POST" of "/chat/1" by "team-one" with the body "tell me"
    Then a "<method>" of "<target>" by "<team>" with the body "<body>" has <which> digest

    Examples:
      | method | target  | team     | body    | which       |
      | POST   | /chat/1 | team-one | tell me | the same    |
      | PUT    | /chat/1 | team-one | tell me | another     |
      | POST   | /chat/2 | team-one | tell me | another     |
      | POST   | /chat/1 | team-two | tell me | another     |
      | POST   | /chat/1 | team-one | tell    | another     |
