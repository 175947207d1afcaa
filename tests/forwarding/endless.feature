Feature: A target that sends endless data exhausts neither memory nor time

  Faulty targets send data without end, in a head, a body or after a response, until the
  entry instance closes the connection. An instance that buffered it would run out of
  memory; one that waited for the end would not answer in time.

  Scenario: Callers are answered as soon as the head allows, and memory stays bounded
    Given a routed deployment with one target that can send endless data
    Then the entry next to it answers a read in each endless mode:
      | mode                                 | status | within ms |
      | a refusal in chunks                  | 503    | 700       |
      | a refusal without a length           | 503    | 700       |
      | an unproven refusal without a length | 502    | 700       |
      | informational answers                | 502    | 700       |
      | a chunk extension                    | broken | 700       |
      | trailers                             | broken | 700       |
      | lines of a head                      | 502    | 700       |
      | one line of a head                   | 502    | 700       |
      | bytes of no protocol                 | 502    | 700       |
      | bytes after its answer               | 200    | 700       |
      | answers after its answer             | 200    | 700       |
      | the answer to another request        | 502    | 700       |
    And the memory of that entry has grown by 32 MB at most

  Scenario: An endless body is streamed until the caller disconnects
    Given a routed deployment with one target that can send endless data
    When a caller reads 8 MB of an endless body and disconnects
    Then the target's connection is closed within 500 ms
    And the memory of that entry has grown by 32 MB at most

  Scenario: Callers that read nothing of endless bodies don't exhaust memory
    Guards against an instance that keeps a megabyte for each response that its caller
    doesn't read.
    Given a routed deployment with one target that can send endless data
    When 200 callers request an endless body and read nothing for 2 s
    Then the memory of that entry has grown by 32 MB at most
    And the entry next to it answers soundly meanwhile
