"""Entries that come, go, freeze and are cut off, and three control instances."""

from hypothesis import strategies as st

from mothshunt.membership.roster import RosterTable
from mothshunt.membership.roster_messages import RosterRows
from mothshunt.membership.roster_view import RosterView
from tests.steps.membership_roster import report

CONTROL = 3
MOST_ENTRIES = 6
#: The longest cut or freeze within which the others keep the part of an entry.
LONGEST_LOSS_S = 55.0
DISTURBANCES = st.lists(
    st.tuples(
        # Nobody starts while others are cut off, so that few starts would count.
        st.sampled_from(["start", "join", "start", "end", "freeze", "cut", "region"]),
        st.integers(0, MOST_ENTRIES - 1),
        st.integers(0, CONTROL - 1),
        st.integers(1, 40),
    ),
    min_size=2,
    max_size=20,
)


class RosterWorld:
    """Let entries use all of a limit that they may; what each uses is the subclass's.

    :param size: Entries at the beginning.
    :param step_s: Time between two exchanges, in seconds.
    :param is_late: Whether what is told arrives a step later.
    """

    def __init__(self, size, step_s, *, is_late):
        self.now = 0.0
        self.step_s = step_s
        self.is_late = is_late
        self.tables = [RosterTable() for _ in range(CONTROL)]
        self.view_by_id = {}
        self.cut_since, self.frozen_since = {}, {}
        self.taken = []
        self.on_the_way = []
        for number in range(size):
            self.start(f"e{number}")
        # Each has heard of the others before anything goes wrong.
        self.step()
        self.step()

    def start(self, name):
        if name not in self.view_by_id:
            self.view_by_id[name] = RosterView(report(name, self.zone(name)))
            self.started(name)

    def zone(self, name):
        return "north-a"

    def started(self, name):
        """Note that an entry has started; it knows nothing."""

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
            # Its entries and its control instance see nobody else.
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
            # One loss after another may keep two apart for longer than each lasts.
            self.disturb("join", 0, 0)
        # What thaws takes requests before it hears of anything.
        self.use_all()
        self.exchange()
        self.use_all()

    def use_all(self):
        for name, view in self.view_by_id.items():
            if name not in self.frozen_since:
                self.use(name, view)

    def use(self, name, view):
        """Take all that an entry may, into ``taken``."""
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
            for name in set(table.standing_by_id).difference(near):
                table.detach(name, self.now)
            gone = tuple(table.expire(self.now))
            for name in near:
                table.report(self.view_by_id[name].own, self.now)
            told = RosterRows(rows=table.rows(), gone=gone, is_whole=True)
            self.on_the_way.extend((name, c, told) for name in near)
        if not self.is_late:
            self.deliver()

    def deliver(self):
        arriving, self.on_the_way = self.on_the_way, []
        for name, c, told in arriving:
            if name in self.view_by_id and name not in self.frozen_since:
                self.view_by_id[name].take_rows(f"c{c}", told, self.now)
