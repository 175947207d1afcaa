Feature: A response whose head is not valid HTTP reaches no caller

  Guards against callers that take such a response for an answer, get one of its lines,
  or a body that differs from the target's, or are told that an order was not run.

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

  Scenario Outline: Valid responses are passed on
    When a target answers requests by way of <way> with these heads:
      | head                                                 | status |
      | HTTP/1.1 200 OK\r\n%ID%                              | 200    |
      | HTTP/1.1 299 Odd\r\n%ID%                             | 299    |
      | HTTP/1.1 418 Odd\r\n%ID%                             | 418    |
      | HTTP/1.1 499 Odd\r\n%ID%                             | 499    |
      | HTTP/1.1 599 Odd\r\n%ID%                             | 599    |
      | HTTP/1.1 103 Early\r\nA: b\r\n\r\nHTTP/1.1 200 OK\r\n%ID% | 200 |
      | HTTP/1.1 200\r\n%ID%                                 | 200 |
      | HTTP/1.0 200 OK\r\n%ID%                              | 200 |
      | HTTP/1.1 200 OK\n%ID%                                | 200 |
      | HTTP/1.1 200 OK\r\nA: b\r\n c: d\r\n%ID%             | 200 |
      | HTTP/1.1 200 OK\r\n!#$%&'*+-.^_`\x7c~09azAZ: 1\r\n%ID% | 200 |
      | HTTP/1.1 200 O\tK \xe9\r\nA: a\tb \xff\r\n%ID%       | 200 |
    Then each caller got the status and body of the target

    Examples:
      | way           |
      | routes        |
      | contracts     |
      | another entry |

  Scenario Outline: The name of a field has a blank or a control byte
    Parsers treat some names in a way of their own.
    When a target answers requests by way of <way> with invalid forms of these names:
      | name              |
      | Connection        |
      | Content-Encoding  |
      | Content-Length    |
      | Content-Type      |
      | Date              |
      | Keep-Alive        |
      | Mothshunt-Ran     |
      | Proxy-Connection  |
      | Set-Cookie        |
      | Trailer           |
      | Transfer-Encoding |
      | Upgrade           |
      | X-Odd             |
    Then each caller got status 502 and is not told that its request was not run

    Examples:
      | way           |
      | routes        |
      | contracts     |
      | another entry |

  Scenario Outline: The name of a trailer has a blank or a control byte
    Trailers are not passed on, so that the parser's lenience with some names does no harm.
    When a target answers requests by way of <way> with invalid forms of these trailers:
      | name              |
      | Connection        |
      | Content-Length    |
      | Proxy-Connection  |
      | Transfer-Encoding |
      | Upgrade           |
      | X-Odd             |
    Then each caller got status 502, or the body of the target without the trailer

    Examples:
      | way           |
      | routes        |
      | contracts     |
      | another entry |

  Scenario Outline: Whitespace follows the status line, or an informational head is invalid
    A line that begins with whitespace continues the line before it; a status line can't
    be continued.
    When a target answers requests by way of <way> with these heads:
      | head                                                                      |
      | HTTP/1.1 200 OK\r\n X-Odd: 1\r\n%ID%                                      |
      | HTTP/1.1 200 OK\r\n\tX-Odd: 1\r\n%ID%                                     |
      | HTTP/1.1 200 OK\r\n \r\n%ID%                                              |
      | HTTP/1.1 200 OK\r\n Transfer-Encoding: chunked\r\n%ID%                    |
      | HTTP/1.1 200 OK\r\n Content-Length: 3\r\n%ID%                             |
      | HTTP/1.1 200 OK\n X-Odd: 1\r\n%ID%                                        |
      | \r\nHTTP/1.1 200 OK\r\n X-Odd: 1\r\n%ID%                                  |
      | HTTP/1.1 103 Early\r\n X-Odd: 1\r\n\r\nHTTP/1.1 200 OK\r\n%ID%             |
      | HTTP/1.1 103 Early\r\nConnection : 1\r\n\r\nHTTP/1.1 200 OK\r\n%ID%        |
      | HTTP/1.1 103 Early\r\nA: b\r\n\r\nHTTP/1.1 200 OK\r\n X-Odd: 1\r\n%ID%     |
      | HTTP/1.1 103 Early\r\nA: b\r\n\r\nHTTP/1.1 200 OK\r\nUpgrade : 1\r\n%ID%   |
    Then each caller got status 502 and is not told that its request was not run

    Examples:
      | way           |
      | routes        |
      | contracts     |
      | another entry |

  Scenario Outline: A value or the reason phrase has a control byte
    Guards against an order that has run and is reported as a malformed request, not run.
    When a target answers requests by way of <way> with these heads:
      | head                                      |
      | HTTP/1.1 200 OK\r\nX-Odd: a\x00b\r\n%ID%  |
      | HTTP/1.1 200 OK\r\nX-Odd: a\x01b\r\n%ID%  |
      | HTTP/1.1 200 OK\r\nX-Odd: a\x0bb\r\n%ID%  |
      | HTTP/1.1 200 OK\r\nX-Odd: a\x7fb\r\n%ID%  |
      | HTTP/1.1 200 O\x00K\r\n%ID%               |
      | HTTP/1.1 200 O\x1fK\r\n%ID%               |
      | HTTP/1.1 200 O\x7fK\r\n%ID%               |
      | HTTP/1.1 200 O\rK\r\n%ID%                 |
    Then each caller got status 502 and is not told that its request was not run

    Examples:
      | way           |
      | routes        |
      | contracts     |
      | another entry |

  Scenario Outline: The response switches protocols, which no request asks for
    When a target answers requests by way of <way> with these heads:
      | head                                                          |
      | HTTP/1.1 101 Switch\r\n%ID%                                   |
      | HTTP/1.1 101 Switch\r\nUpgrade: a\r\nConnection: upgrade\r\n%ID% |
      | HTTP/1.1 101 Switch\r\n\r\nHTTP/1.1 200 OK\r\n%ID%            |
    Then each caller got status 502 and is not told that its request was not run

    Examples:
      | way           |
      | routes        |
      | contracts     |
      | another entry |

  Scenario Outline: The status line is not one of HTTP/1
    When a target answers requests by way of <way> with these heads:
      | head                                                |
      | HTTP/0.9 200 OK\r\n%ID%                             |
      | HTTP/2.0 200 OK\r\n%ID%                             |
      | ICE/1.0 200 OK\r\n%ID%                              |
      | RTSP/1.0 200 OK\r\n%ID%                             |
      | HTTP/1.1 103 Early\r\n\r\nRTSP/1.0 200 OK\r\n%ID%   |
      | RTSP/1.0 100 Early\r\n\r\nHTTP/1.1 200 OK\r\n%ID%   |
    Then each caller got status 502 and is not told that its request was not run

    Examples:
      | way           |
      | routes        |
      | contracts     |
      | another entry |
