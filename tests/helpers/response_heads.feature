Feature: A response whose head is not valid HTTP reaches no caller

  Guards against callers that take such a response for an answer, get one of its lines,
  or a body that differs from the target's. It doesn't tell whether the request was run.

  Scenario Outline: The status is outside of 100 to 599
    When a target answers requests by way of <way> with these heads:
      | head                                                |
      | HTTP/1.1 000 Odd\r\n%ID%                            |
      | HTTP/1.1 001 Odd\r\n%ID%                            |
      | HTTP/1.1 042 Odd\r\n%ID%                            |
      | HTTP/1.1 099 Odd\r\n%ID%                            |
      | HTTP/1.1 600 Odd\r\n%ID%                            |
      | HTTP/1.1 700 Odd\r\n%ID%                            |
      | HTTP/1.1 999 Odd\r\n%ID%                            |
      | HTTP/1.1 000 Odd\r\nMothshunt-Ran: no\r\n%ID%       |
      | HTTP/1.1 199 Early\r\n\r\nHTTP/1.1 000 Odd\r\n%ID%  |
      | HTTP/1.1 000 Odd\r\n\r\nHTTP/1.1 200 OK\r\n%ID%     |
    Then each caller got status 502 and is not told that its request was not run

    Examples:
      | way           |
      | routes        |
      | contracts     |
      | another entry |

  Scenario Outline: Statuses from 200 to 599 are passed on
    When a target answers requests by way of <way> with these heads:
      | head                                                 | status |
      | HTTP/1.1 200 OK\r\n%ID%                              | 200    |
      | HTTP/1.1 299 Odd\r\n%ID%                             | 299    |
      | HTTP/1.1 418 Odd\r\n%ID%                             | 418    |
      | HTTP/1.1 499 Odd\r\n%ID%                             | 499    |
      | HTTP/1.1 599 Odd\r\n%ID%                             | 599    |
      | HTTP/1.1 103 Early\r\nA: b\r\n\r\nHTTP/1.1 200 OK\r\n%ID% | 200 |
    Then each caller got the status and body of the target

    Examples:
      | way           |
      | routes        |
      | contracts     |
      | another entry |
