"""Logs as JSON lines, written through ``absl.logging``."""

import json
import logging as std_logging
import sys
import time
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import Any, TypeVar

from absl import flags, logging

from mothshunt.core.codes import Failure
from mothshunt.core.types import InstanceId, RequestId

T = TypeVar("T")


class Level(Enum):
    """Severity of a log line."""

    INFO = std_logging.INFO
    WARNING = std_logging.WARNING
    ERROR = std_logging.ERROR


@dataclass(frozen=True, slots=True)
class EventKind:
    """Text, slice and severity of the log lines of one event class.

    :param text: Text of the lines, the same for all.
    :param slice_name: Slice that writes the lines.
    :param level: Severity of the lines.
    """

    text: str
    slice_name: str
    level: Level


KIND_BY_CLASS: dict[type[Any], EventKind] = {}


def log_event(
    text: str, *, slice_name: str, level: Level = Level.INFO
) -> Callable[[type[T]], type[T]]:
    """Register a frozen dataclass as a kind of log line.

    :param text: Text of the lines.
    :param slice_name: Slice that writes the lines.
    :param level: Severity of the lines.
    :return: The class decorator.
    """

    def register(cls: type[T]) -> type[T]:
        KIND_BY_CLASS[cls] = EventKind(text, slice_name, level)
        return cls

    return register


def event_fields(event: object) -> dict[str, Any]:
    """Return the fields of a dataclass with slots, by name.

    :param event: The dataclass instance.
    """
    names: tuple[str, ...] = type(event).__slots__  # type: ignore[attr-defined]
    return {name: getattr(event, name) for name in names}


def write(event: object) -> None:
    """Write a log line.

    :param event: Instance of a class that is registered with ``log_event``.
    """
    kind = KIND_BY_CLASS[type(event)]
    logger = logging.get_absl_logger()
    if logger.isEnabledFor(kind.level.value):
        extra = {"mothshunt": {"slice": kind.slice_name, **event_fields(event)}}
        logger.log(kind.level.value, "%s", kind.text, extra=extra)


@dataclass(frozen=True, kw_only=True, slots=True)
class FailureMet:
    """Failure of the operation that ``text`` and ``slice`` name.

    :param code: Result code.
    :param code_name: Name of the result code.
    :param detail: Details of this failure.
    :param path: Path of the fault in a document.
    :param request_id: Request that failed, if there is one.
    """

    code: int
    code_name: str
    detail: str
    path: str
    request_id: RequestId | None = None

    @classmethod
    def from_failure(
        cls, failure: Failure, request_id: RequestId | None
    ) -> "FailureMet":
        """Return the event that describes a failure.

        :param failure: The failure.
        :param request_id: Request that failed, if there is one.
        """
        return cls(
            code=failure.code.number,
            code_name=failure.code.name,
            detail=failure.detail,
            path=failure.path,
            request_id=request_id,
        )


class SliceLogger:
    """Logger of one slice.

    :param slice_name: Name of the slice, a field of each line.
    """

    def __init__(self, slice_name: str) -> None:
        self._slice_name = slice_name

    def debug(self, text: str, **fields: Any) -> None:
        """Log a line that only developers need."""
        self._log(std_logging.DEBUG, text, fields)

    def info(self, text: str, **fields: Any) -> None:
        """Log a line for the information of operators."""
        self._log(std_logging.INFO, text, fields)

    def warning(self, text: str, **fields: Any) -> None:
        """Log a line that operators should look at."""
        self._log(std_logging.WARNING, text, fields)

    def error(self, text: str, **fields: Any) -> None:
        """Log a line that operators must look at."""
        self._log(std_logging.ERROR, text, fields)

    def failure(
        self, text: str, failure: Failure, request_id: RequestId | None = None
    ) -> None:
        """Log a failure with its code.

        :param text: What failed.
        :param failure: The failure.
        :param request_id: Request that failed, if there is one.
        """
        event = FailureMet.from_failure(failure, request_id)
        self._log(std_logging.WARNING, text, event_fields(event))

    def _log(self, level: int, text: str, fields: dict[str, Any]) -> None:
        logger = logging.get_absl_logger()
        if logger.isEnabledFor(level):
            extra = {"mothshunt": {"slice": self._slice_name, **fields}}
            logger.log(level, "%s", text, extra=extra)


class JsonLineFormatter(std_logging.Formatter):
    """Formatter that writes each log record as one line of JSON.

    :param instance: Name of this instance, a field of each line.
    """

    def __init__(self, instance: InstanceId) -> None:
        super().__init__()
        self._instance = instance

    def format(self, record: std_logging.LogRecord) -> str:
        """Return the line for one record.

        :param record: The log record.
        """
        line: dict[str, Any] = {
            "time": time.strftime("%Y-%m-%dT%H:%M:%S", time.gmtime(record.created))
            + f".{int(record.msecs):03d}Z",
            "level": record.levelname.lower(),
            "instance": self._instance,
            "slice": "process",
            "text": record.getMessage(),
        }
        fields = getattr(record, "mothshunt", {})
        line.update({key: value for key, value in fields.items() if value is not None})
        if record.exc_info:
            line["exception"] = self.formatException(record.exc_info)
        return json.dumps(line, default=str)


def set_up(instance: InstanceId, level: str, stream: Any = None) -> None:
    """Write all logs of the process to a stream as JSON lines.

    :param instance: Name of this instance.
    :param level: Lowest severity that is logged.
    :param stream: Output stream; standard error by default.
    """
    # absl writes a warning with the first line unless its flags count as parsed.
    flags.FLAGS.mark_as_parsed()
    logging.use_absl_handler()
    handler = logging.get_absl_handler()
    handler.setFormatter(JsonLineFormatter(instance))
    handler.python_handler.stream = sys.stderr if stream is None else stream
    handler.python_handler.setFormatter(JsonLineFormatter(instance))
    logging.set_verbosity(level)


def get_logger(slice_name: str) -> SliceLogger:
    """Return the logger of a slice.

    :param slice_name: Name of the slice.
    """
    return SliceLogger(slice_name)
