"""Counters, gauges and latency histograms of one process."""

from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass, field
from functools import partial

from hdrh.histogram import HdrHistogram

LOWEST_LATENCY_US = 1
HIGHEST_LATENCY_US = 600_000_000
SIGNIFICANT_DIGITS = 2
QUANTILES = (50.0, 90.0, 99.0, 99.9)
#: Digits of a gauge; 6, the default of Python, would round byte counts.
GAUGE_DIGITS = 15
MICROSECONDS_PER_SECOND = 1_000_000


@dataclass(frozen=True, slots=True)
class Series:
    """Name one time series.

    :param name: Metric name.
    :param labels: Pairs of label and value, sorted by label.
    """

    name: str
    labels: tuple[tuple[str, str], ...] = ()

    def render(self, *extra: tuple[str, str]) -> str:
        """Return the series in the text exposition format.

        :param extra: Further pairs of label and value.
        """
        pairs = [*self.labels, *extra]
        if not pairs:
            return self.name
        inner = ",".join(f'{label}="{_escape(value)}"' for label, value in pairs)
        return f"{self.name}{{{inner}}}"


@dataclass(slots=True)
class Metrics:
    """Collect the metrics of one process."""

    counter_by_series: dict[Series, int] = field(default_factory=dict)
    gauge_by_series: dict[Series, Callable[[], float]] = field(default_factory=dict)
    histogram_by_series: dict[Series, HdrHistogram] = field(default_factory=dict)
    read_by_name: dict[str, tuple[str, Callable[[], Mapping[str, int]]]] = field(
        default_factory=dict
    )

    def count(self, name: str, amount: int = 1, **labels: str) -> None:
        """Add to a counter.

        :param name: Metric name; ends in ``_total``.
        :param amount: What to add.
        :param labels: Labels of the series.
        """
        series = _series(name, labels)
        self.counter_by_series[series] = self.counter_by_series.get(series, 0) + amount

    def value(self, name: str, **labels: str) -> int:
        """Return the value of a counter; 0 when it was never counted.

        :param name: Metric name.
        :param labels: Labels of the series.
        """
        return self.counter_by_series.get(_series(name, labels), 0)

    def gauge(self, name: str, read: Callable[[], float], **labels: str) -> None:
        """Register a gauge that is read when metrics are asked for.

        :param name: Metric name.
        :param read: Returns the present value.
        :param labels: Labels of the series.
        """
        self.gauge_by_series[_series(name, labels)] = read

    def counters(
        self, name: str, label: str, read: Callable[[], Mapping[str, int]]
    ) -> None:
        """Register counters that are kept elsewhere and read when asked for.

        :param name: Metric name; ends in ``_total``.
        :param label: Label whose values are the keys.
        :param read: Returns the counts by the value of the label.
        """
        self.read_by_name[name] = (label, read)

    def observe(self, name: str, seconds: float, **labels: str) -> None:
        """Record a latency.

        :param name: Metric name; ends in ``_seconds``.
        :param seconds: The latency.
        :param labels: Labels of the series.
        """
        _record(self._histogram(name, labels), seconds)

    def recorder(self, name: str, **labels: str) -> Callable[[float], None]:
        """Return a function that records latencies of one series, in seconds.

        :param name: Metric name; ends in ``_seconds``.
        :param labels: Labels of the series.
        """
        return partial(_record, self._histogram(name, labels))

    def _histogram(self, name: str, labels: dict[str, str]) -> HdrHistogram:
        series = _series(name, labels)
        histogram = self.histogram_by_series.get(series)
        if histogram is None:
            histogram = HdrHistogram(
                LOWEST_LATENCY_US, HIGHEST_LATENCY_US, SIGNIFICANT_DIGITS
            )
            self.histogram_by_series[series] = histogram
        return histogram

    def render(self) -> str:
        """Return all metrics in the text exposition format."""
        return "\n".join(self._lines()) + "\n"

    def _lines(self) -> Iterator[str]:
        for series, count in sorted(self.counter_by_series.items(), key=_by_text):
            yield f"{series.render()} {count}"
        for name, (label, read_counts) in sorted(self.read_by_name.items()):
            for value, count in sorted(read_counts().items()):
                yield f"{Series(name, ((label, value),)).render()} {count}"
        for series, read in sorted(self.gauge_by_series.items(), key=_by_text):
            yield f"{series.render()} {read():.{GAUGE_DIGITS}g}"
        for series, histogram in sorted(self.histogram_by_series.items(), key=_by_text):
            yield from _histogram_lines(series, histogram)


def _series(name: str, labels: dict[str, str]) -> Series:
    return Series(name, tuple(sorted(labels.items())))


def _record(histogram: HdrHistogram, seconds: float) -> None:
    value_us = max(LOWEST_LATENCY_US, int(seconds * MICROSECONDS_PER_SECOND))
    histogram.record_value(min(value_us, HIGHEST_LATENCY_US))


def _by_text(item: tuple[Series, object]) -> str:
    return item[0].render()


def _histogram_lines(series: Series, histogram: HdrHistogram) -> Iterator[str]:
    for quantile in QUANTILES:
        value_s = histogram.get_value_at_percentile(quantile) / MICROSECONDS_PER_SECOND
        label = ("quantile", f"{quantile / 100:g}")
        yield f"{series.render(label)} {value_s:g}"
    counted = Series(f"{series.name}_count", series.labels)
    yield f"{counted.render()} {histogram.get_total_count()}"


def _escape(value: str) -> str:
    return value.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")
