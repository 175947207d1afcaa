Feature: The kit's caller sends each request once

  Scenario Outline: A connection that breaks after the request was read
    Given a kit server that closes each connection after reading a request
    When the kit's HTTP client sends <method> to it
    Then the kit server has read 1 request

    Examples:
      | method |
      | GET    |
      | PUT    |
      | DELETE |
