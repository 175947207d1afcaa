"""Page of the result codes."""

from collections.abc import Iterator

from mothshunt.admin.catalog import CodeModule, code_modules
from mothshunt.core.codes import ResultCode
from tools.markdown import table_row

HEAD = """\
# Result codes

Made from the code by `script/generate_docs`; don't edit it by hand.

Each refusal and error has a number that stays the same between releases, and a
name that is the label of its counter. HTTP answers carry the number in the
header `Mothshunt-Code` and both in their JSON body. `mothshunt codes` prints
this table.
"""


def result_codes_page() -> str:
    """Return the text of the page."""
    return "\n".join(_lines()) + "\n"


def _lines() -> Iterator[str]:
    yield HEAD
    for module in code_modules():
        yield f"## {_heading(module)}"
        yield ""
        yield "| Number | Name | HTTP | What happened | What to do |"
        yield "| --- | --- | --- | --- | --- |"
        yield from map(_row, module.codes)
        yield ""


def _heading(module: CodeModule) -> str:
    title = module.title.rstrip(".").removeprefix("Result codes of ")
    title = title.removeprefix("the ")
    return title[0].upper() + title[1:]


def _row(code: ResultCode) -> str:
    cells = (
        str(code.number),
        f"`{code.name}`",
        str(code.http_status),
        code.summary,
        code.action,
    )
    return table_row(cells)
