"""Steps for the locality of objects, at entry and control instances without network."""

from random import Random

from behave import given, then, when

from mothshunt.locality.state import LocalityBoard, LocalityView, ObjectSampler
from mothshunt.placement.state import Placement
from mothshunt.placement.target_load import TargetLoad
from tests.support.placement_world import SERVICE, chosen_id, target

REQUESTS_PER_S = 5


class LocalityWorld:
    """Entry instances and two control instances that exchange what they know."""

    def __init__(self, entries: int, regions: int, objects: int, *, is_regional: bool):
        self.random = Random(7)
        self.now = 0.0
        self.objects = objects
        self.is_regional = is_regional
        self.regions = regions
        self.samplers = [ObjectSampler() for _ in range(entries)]
        self.views = [LocalityView.empty() for _ in range(entries)]
        self.boards = {"c1": LocalityBoard(), "c2": LocalityBoard()}
        self.largest_report = 0

    def run(self, seconds: int) -> None:
        for _ in range(seconds):
            self.now += 1.0
            for number, sampler in enumerate(self.samplers):
                self.request(number, sampler)
                rows = sampler.take_rows()
                sizes = [len(row.objects) for row in rows]
                self.largest_report = max([self.largest_report, *sizes])
                for board in self.boards.values():
                    board.record(f"region-{number % self.regions}", rows, self.now)
            for name, board in self.boards.items():
                summary = board.summary(self.now)
                for view in self.views:
                    view.apply(name, summary, self.now)

    def request(self, number: int, sampler: ObjectSampler) -> None:
        many = 20_000 if self.objects > 10_000 else REQUESTS_PER_S
        for _ in range(many):
            value = self.random.randrange(self.objects)
            if self.is_regional:
                value = value - value % self.regions + number % self.regions
            sampler.record(SERVICE, f"object-{value}")


@given(
    "{entries:d} entry instances in {regions:d} regions that request {objects:d} "
    "objects of {whose} region{plural}"
)
def world(context, entries, regions, objects, whose, plural):
    context.world = LocalityWorld(
        entries, regions, objects, is_regional=whose.startswith("one")
    )


@when("they report for {seconds:d} s")
def run(context, seconds):
    context.world.run(seconds)


@when("one of two control instances is restarted and {seconds:d} s passes")
def restart(context, seconds):
    context.world.boards["c2"] = LocalityBoard()
    context.world.run(seconds)


@then("all entry instances take the objects for {kind}")
def taken_for(context, kind):
    found = {view.is_regional(SERVICE) for view in context.world.views}
    assert found == {kind == "regional"}, found


@then("no report has more than {limit:d} objects")
def bounded(context, limit):
    assert 0 < context.world.largest_report <= limit, context.world.largest_report


def remote_objects(*, is_regional: bool) -> int:
    built = Placement(
        zone="north-a",
        region="north",
        max_region_shift=0.15,
        renewal_interval_s=1.5,
        random=Random(1),
        is_regional=lambda service: is_regional,
    )
    targets = [target(n, 4) for n in range(4)]
    targets += [target(n, 4, "south-a", "south") for n in range(4)]
    built.replace_targets([TargetLoad(target=t, renewed_at=0.0) for t in targets], {})
    return sum(chosen_id(built, f"o{n}").startswith("south") for n in range(100))


@then("a placement with regional objects sends none of 100 objects to another region")
def none_remote(context):
    assert remote_objects(is_regional=True) == 0


@then("a placement with shared objects sends some of 100 objects to another region")
def some_remote(context):
    assert remote_objects(is_regional=False) > 20
