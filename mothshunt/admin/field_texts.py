"""Texts of the reST fields of dataclasses, for pages made from the code."""

import inspect
import re

_FIELD_PATTERN = re.compile(r"^:param (\w+): (.*(?:\n +.*)*)", re.MULTILINE)


def summary_text(cls: type[object]) -> str:
    """Return the first line of a class's documentation.

    :param cls: The class.
    """
    return (inspect.getdoc(cls) or "").split("\n", 1)[0]


def field_texts(cls: type[object]) -> dict[str, str]:
    """Return the text of each documented field, on one line, by its name.

    Fields of base classes are included.

    :param cls: The class.
    """
    text_by_name: dict[str, str] = {}
    for base in reversed(cls.__mro__):
        for name, text in _FIELD_PATTERN.findall(inspect.cleandoc(base.__doc__ or "")):
            text_by_name[name] = " ".join(text.split())
    return text_by_name
