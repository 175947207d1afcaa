Feature: The replicated log keeps its promises under random faults

  # After every step of every node: one leader in a term, whose disks and votes are a
  # majority's; no accepted change lost; none run whose caller was told that it did not;
  # applied sequences are prefixes of each other; no commit index goes back; no read is
  # older than what was accepted before it; no message tells of what is not synced;
  # memberships change one voter at a time.
  Scenario: Messages are lost, doubled and reordered, instances crash, disks are lost
    When hypothesis draws 150 examples of up to 40 faults for pure nodes
    Then at least 20000 steps kept every promise, with lost disks among the faults

  Scenario: Sequences that once failed
    Then the sequences of faults that once failed keep every promise
