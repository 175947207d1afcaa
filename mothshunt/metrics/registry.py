"""Registry of the counters, gauges and latency histograms of a process."""

from collections.abc import Callable, Iterable, Iterator, Mapping
from dataclasses import dataclass, field
from functools import partial

from hdrh.histogram import HdrHistogram

LOWEST_LATENCY_US = 1
HIGHEST_LATENCY_US = 600_000_000
HISTOGRAM_SIGNIFICANT_DIGITS = 2
#: Upper bounds of the exposed histogram buckets, in seconds. Each is about twice the
#: previous one; they range from a hop within a zone to the longest request.
BUCKET_BOUNDS_S = (
    0.001,
    0.0025,
    0.005,
    0.01,
    0.025,
    0.05,
    0.1,
    0.25,
    0.5,
    1.0,
    2.5,
    5.0,
    10.0,
)
#: Significant digits of a gauge; Python's default of 6 would round byte counts.
GAUGE_SIGNIFICANT_DIGITS = 15
MICROSECONDS_PER_SECOND = 1_000_000


@dataclass(frozen=True, slots=True)
class Series:
    """Time series, identified by metric name and labels.

    :param name: Metric name.
    :param labels: Pairs of label and value, sorted by label.
    """

    name: str
    labels: tuple[tuple[str, str], ...] = ()

    def render(self, *extra: tuple[str, str]) -> str:
        """Return name and labels in the text exposition format.

        :param extra: Additional pairs of label and value.
        """
        pairs = [*self.labels, *extra]
        if not pairs:
            return self.name
        inner = ",".join(f'{label}="{_escape(value)}"' for label, value in pairs)
        return f"{self.name}{{{inner}}}"


@dataclass(slots=True)
class Metrics:
    """Metrics of one process."""

    counter_by_series: dict[Series, int] = field(default_factory=dict)
    gauge_by_series: dict[Series, Callable[[], float]] = field(default_factory=dict)
    histogram_by_series: dict[Series, HdrHistogram] = field(default_factory=dict)
    counter_reader_by_name: dict[str, tuple[str, Callable[[], Mapping[str, int]]]] = (
        field(default_factory=dict)
    )

    def count(self, name: str, amount: int = 1, **labels: str) -> None:
        """Increase a counter.

        :param name: Metric name; ends in ``_total``.
        :param amount: Amount to add.
        :param labels: Labels of the series.
        """
        series = _series(name, labels)
        self.counter_by_series[series] = self.counter_by_series.get(series, 0) + amount

    def counter_value(self, name: str, **labels: str) -> int:
        """Return the value of a counter; 0 if it was never increased.

        :param name: Metric name.
        :param labels: Labels of the series.
        """
        return self.counter_by_series.get(_series(name, labels), 0)

    def gauge(self, name: str, read: Callable[[], float], **labels: str) -> None:
        """Register a gauge whose value is read when the metrics are rendered.

        :param name: Metric name.
        :param read: Returns the current value.
        :param labels: Labels of the series.
        """
        self.gauge_by_series[_series(name, labels)] = read

    def counters(
        self, name: str, label: str, read: Callable[[], Mapping[str, int]]
    ) -> None:
        """Register counters whose values are read when the metrics are rendered.

        :param name: Metric name; ends in ``_total``.
        :param label: Label that distinguishes the counters.
        :param read: Returns the count for each value of the label.
        """
        self.counter_reader_by_name[name] = (label, read)

    def observe(self, name: str, seconds: float, **labels: str) -> None:
        """Record a latency.

        :param name: Metric name; ends in ``_seconds``.
        :param seconds: The latency.
        :param labels: Labels of the series.
        """
        _record(self._histogram(name, labels), seconds)

    def recorder(self, name: str, **labels: str) -> Callable[[float], None]:
        """Return a function that records a latency in seconds in one series.

        :param name: Metric name; ends in ``_seconds``.
        :param labels: Labels of the series.
        """
        return partial(_record, self._histogram(name, labels))

    def _histogram(self, name: str, labels: dict[str, str]) -> HdrHistogram:
        series = _series(name, labels)
        histogram = self.histogram_by_series.get(series)
        if histogram is None:
            histogram = HdrHistogram(
                LOWEST_LATENCY_US, HIGHEST_LATENCY_US, HISTOGRAM_SIGNIFICANT_DIGITS
            )
            self.histogram_by_series[series] = histogram
        return histogram

    def render(self) -> str:
        """Return all metrics in the text exposition format."""
        return "\n".join(self._lines()) + "\n"

    def _lines(self) -> Iterator[str]:
        yield from _family_lines(self._counters(), "counter")
        gauges = (
            (series, f"{read():.{GAUGE_SIGNIFICANT_DIGITS}g}")
            for series, read in self.gauge_by_series.items()
        )
        yield from _family_lines(gauges, "gauge")
        last = ""
        for series, histogram in sorted(
            self.histogram_by_series.items(), key=_rendered_series
        ):
            if series.name != last:
                last = series.name
                yield f"# TYPE {series.name} histogram"
            yield from _histogram_lines(series, histogram)

    def _counters(self) -> Iterator[tuple[Series, str]]:
        for series, count in self.counter_by_series.items():
            yield series, str(count)
        for name, (label, read_counts) in self.counter_reader_by_name.items():
            for value, count in read_counts().items():
                yield Series(name, ((label, value),)), str(count)


def _series(name: str, labels: dict[str, str]) -> Series:
    return Series(name, tuple(sorted(labels.items())))


def _record(histogram: HdrHistogram, seconds: float) -> None:
    value_us = max(LOWEST_LATENCY_US, int(seconds * MICROSECONDS_PER_SECOND))
    histogram.record_value(min(value_us, HIGHEST_LATENCY_US))


def _rendered_series(item: tuple[Series, object]) -> str:
    return item[0].render()


def _family_lines(values: Iterable[tuple[Series, str]], kind: str) -> Iterator[str]:
    """Yield the lines of counters or gauges, grouped by metric name."""
    last = ""
    for series, value in sorted(
        values, key=lambda pair: (pair[0].name, _rendered_series(pair))
    ):
        if series.name != last:
            last = series.name
            yield f"# TYPE {series.name} {kind}"
        yield f"{series.render()} {value}"


def _histogram_lines(series: Series, histogram: HdrHistogram) -> Iterator[str]:
    """Yield the cumulative count up to each bound, the sum and the total count."""
    count = 0
    total_us = 0
    bounds = iter(BUCKET_BOUNDS_S)
    bound_s = next(bounds, None)
    bucket = Series(f"{series.name}_bucket", series.labels)
    for item in histogram.get_recorded_iterator():
        value_us = item.value_iterated_to
        while bound_s is not None and value_us > bound_s * MICROSECONDS_PER_SECOND:
            yield f"{bucket.render(('le', f'{bound_s:g}'))} {count}"
            bound_s = next(bounds, None)
        count += item.count_at_value_iterated_to
        total_us += value_us * item.count_at_value_iterated_to
    while bound_s is not None:
        yield f"{bucket.render(('le', f'{bound_s:g}'))} {count}"
        bound_s = next(bounds, None)
    yield f"{bucket.render(('le', '+Inf'))} {count}"
    total_s = total_us / MICROSECONDS_PER_SECOND
    yield f"{Series(f'{series.name}_sum', series.labels).render()} {total_s:g}"
    yield f"{Series(f'{series.name}_count', series.labels).render()} {count}"


def _escape(value: str) -> str:
    return value.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")
