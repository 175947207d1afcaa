"""How evenly the targets of each service are loaded."""

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field

from bench.load.targets import EmulatedTarget
from mothshunt.core.types import ServiceName, TargetId

#: Time between two samples of the targets, in seconds.
SAMPLE_INTERVAL_S = 0.025
#: Windows over which the load of a target is averaged, in seconds.
WINDOWS_S = (0.25, 2.0)
#: Time at the start that is left out, in seconds: targets learn their objects.
WARM_UP_S = 4.0
#: Mean load, as a multiple of the slots, below which a window is left out.
MIN_MEAN_LOAD = 0.1


@dataclass(slots=True)
class _Window:
    ends_at: float
    samples: int = 0
    load_by_target: dict[TargetId, float] = field(
        default_factory=lambda: defaultdict(float)
    )


@dataclass(slots=True)
class SpreadMeter:
    """Measure (running + waiting) / slots over the targets of each service.

    :param sheds: Requests shed after the warm-up.
    :param needless_sheds: Those shed while another target had a free slot.
    """

    sheds: int = 0
    needless_sheds: int = 0
    _samples: int = 0
    _uneven_samples: int = 0
    _window_by_key: dict[tuple[ServiceName, float], _Window] = field(
        default_factory=dict
    )
    _run_by_target: dict[tuple[ServiceName, str], dict[TargetId, float]] = field(
        default_factory=lambda: defaultdict(lambda: defaultdict(float))
    )
    _ratios: dict[float, list[float]] = field(default_factory=lambda: defaultdict(list))

    def sample(self, targets: Iterable[EmulatedTarget], now: float) -> None:
        """Take a sample of all targets.

        :param targets: The targets.
        :param now: The present time, in seconds.
        """
        if now < WARM_UP_S:
            return
        by_service: dict[ServiceName, list[EmulatedTarget]] = defaultdict(list)
        for target in targets:
            if target.is_up:
                by_service[target.plan.name].append(target)
        for service, group in by_service.items():
            self._samples += 1
            loads = [target.load() for target in group]
            has_free = any(load.running < load.slots for load in loads)
            self._uneven_samples += has_free and any(load.waiting for load in loads)
            for target, load in zip(group, loads, strict=True):
                used = (load.running + load.waiting) / load.slots
                for place in ("", target.placed.region):
                    self._run_by_target[service, place][target.placed.id] += used
            for window_s in WINDOWS_S:
                key = (service, window_s)
                window = self._window_by_key.get(key)
                if window is None:
                    window = self._window_by_key[key] = _Window(now + window_s)
                elif now >= window.ends_at:
                    self._close(window, window_s)
                    window = self._window_by_key[key] = _Window(now + window_s)
                window.samples += 1
                for target, load in zip(group, loads, strict=True):
                    window.load_by_target[target.placed.id] += (
                        load.running + load.waiting
                    ) / load.slots

    def _close(self, window: _Window, window_s: float) -> None:
        loads = window.load_by_target.values()
        mean = sum(loads) / len(loads)
        if mean / window.samples >= MIN_MEAN_LOAD:
            self._ratios[window_s].append(max(loads) / mean)

    def record_shed(
        self, service: ServiceName, targets: Iterable[EmulatedTarget], now: float
    ) -> None:
        """Record that a target shed a request.

        :param service: Service of the target.
        :param targets: All targets.
        :param now: The present time, in seconds.
        """
        if now < WARM_UP_S:
            return
        self.sheds += 1
        self.needless_sheds += any(
            target.is_up
            and target.plan.name == service
            and target.load().running < target.plan.slots
            for target in targets
        )

    def ratios(self, window_s: float) -> list[float]:
        """Return the busiest target by the mean, of each window, sorted.

        :param window_s: Length of the windows, in seconds.
        """
        return sorted(self._ratios[window_s])

    def run_ratio(self, *, by_region: bool = False) -> float:
        """Return the busiest target by the mean over the whole run.

        :param by_region: Whether to compare with the mean of the target's region only.
        """
        ratios = [
            max(loads.values()) * len(loads) / sum(loads.values())
            for (_, place), loads in self._run_by_target.items()
            if bool(place) is by_region and sum(loads.values())
        ]
        return max(ratios, default=1.0)

    @property
    def uneven_part(self) -> float:
        """Part of the time in which requests wait at a target while another is free."""
        return self._uneven_samples / self._samples if self._samples else 0.0
