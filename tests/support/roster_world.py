"""Simulated entries that start, end, freeze and are cut off, with control tables."""

from hypothesis import strategies as st

from mothshunt.membership.roster import RosterTable
from mothshunt.membership.roster_messages import RosterRows
from mothshunt.membership.roster_view import RosterView
from tests.steps.membership_roster import report

CONTROL = 3
MOST_ENTRIES = 6
#: Longest cut or freeze for which the others keep the share of an entry, in seconds.
LONGEST_LOSS_S = 55.0
DISTURBANCES = st.lists(
    st.tuples(
        # A start is ignored while an entry is cut off, so it is given twice here.
        st.sampled_from(["start", "join", "start", "end", "freeze", "cut", "region"]),
        st.integers(0, MOST_ENTRIES - 1),
        st.integers(0, CONTROL - 1),
        st.integers(1, 40),
    ),
    min_size=2,
    max_size=20,
)


class RosterWorld:
    """Entries that use all that their shares of a limit allow.

    Subclasses define how an entry uses its share.

    :param size: Number of entries at the beginning.
    :param step_s: Time between two exchanges, in seconds.
    :param is_late: Whether a message arrives one step later.
    """

    def __init__(self, size, step_s, *, is_late):
        self.now = 0.0
        self.step_s = step_s
        self.is_late = is_late
        self.tables = [RosterTable() for _ in range(CONTROL)]
        self.view_by_id = {}
        self.cut_since, self.frozen_since = {}, {}
        self.taken = []
        self.in_transit = []
        for number in range(size):
            self.start(f"e{number}")
        # Let each entry know the others before the first disturbance.
        self.step()
        self.step()

    def start(self, name):
        if name not in self.view_by_id:
            self.view_by_id[name] = RosterView(report(name, self.zone(name)))
            self.started(name)

    def zone(self, name):
        return "north-a"

    def started(self, name):
        """Prepare the usage record of an entry that has started."""

    def end(self, name):
        self.view_by_id.pop(name, None)
        self.frozen_since.pop(name, None)

    def disturb(self, verb, number, control):
        name = f"e{number}"
        if verb == "start" and not self.cut_since:
            self.start(name)
        elif verb == "end":
            self.end(name)
        elif verb == "freeze" and name in self.view_by_id:
            self.frozen_since.setdefault(name, self.now)
        elif verb == "cut":
            self.cut_since.setdefault((name, control), self.now)
        elif verb == "region":
            # Cut off the entries and the control instance of one region.
            for n in range(MOST_ENTRIES):
                for c in range(CONTROL):
                    if (n % CONTROL == control) != (c == control):
                        self.cut_since.setdefault((f"e{n}", c), self.now)
        elif verb == "join":
            self.cut_since.clear()
            self.frozen_since.clear()

    def step(self):
        self.now = round(self.now + self.step_s, 3)
        lost_since = [*self.cut_since.values(), *self.frozen_since.values()]
        if lost_since and self.now - min(lost_since) > LONGEST_LOSS_S:
            # Consecutive losses may separate two entries for longer than one lasts.
            self.disturb("join", 0, 0)
        # An entry that resumes uses its share before it receives any message.
        self.use_all()
        self.exchange()
        self.use_all()

    def use_all(self):
        for name, view in self.view_by_id.items():
            if name not in self.frozen_since:
                self.use(name, view)

    def use(self, name, view):
        """Append the times of all uses that an entry's share allows to ``taken``."""
        raise NotImplementedError

    def exchange(self):
        if self.is_late:
            self.deliver()
        for c, table in enumerate(self.tables):
            near = [
                name
                for name in self.view_by_id
                if (name, c) not in self.cut_since and name not in self.frozen_since
            ]
            for name in set(table.entry_by_id).difference(near):
                table.detach(name, self.now)
            gone = tuple(table.remove_expired(self.now))
            for name in near:
                table.record_report(self.view_by_id[name].own, self.now)
            roster = RosterRows(rows=table.rows(), gone=gone, is_whole=True)
            self.in_transit.extend((name, c, roster) for name in near)
        if not self.is_late:
            self.deliver()

    def deliver(self):
        arriving, self.in_transit = self.in_transit, []
        for name, c, roster in arriving:
            if name in self.view_by_id and name not in self.frozen_since:
                self.view_by_id[name].apply_rows(f"c{c}", roster, self.now)
