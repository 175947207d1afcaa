"""Run the checks and the features, and close with ``N passed, N failed``.

Usage: ``python -m tests.support.run_all [NAME]``; with a name, only the feature
files whose path contains it are run.
"""

import argparse
import json
import subprocess
import sys
import tempfile
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path

from tests.support import known_red

PARALLEL_FEATURES = 3
FEATURE_TIMEOUT_S = 900
CHECK_COMMANDS = {
    "check:formatter": ["ruff", "format", "--check", "."],
    "check:linter": ["ruff", "check", "."],
    "check:types": ["mypy", "mothshunt"],
    "check:pages": ["tools.generate_docs", "--check"],
}


@dataclass(frozen=True, kw_only=True, slots=True)
class TestResult:
    """Hold the verdict of one test.

    :param name: ``check:name`` or ``feature path: scenario``.
    :param passed: The verdict.
    :param output: What to print when it failed.
    """

    name: str
    passed: bool
    output: str = ""


def run_check(name: str, command: list[str]) -> TestResult:
    """Run one command that passes by its exit code."""
    done = subprocess.run(
        [sys.executable, "-m", *command], capture_output=True, text=True, check=False
    )
    output = done.stdout + done.stderr
    return TestResult(name=name, passed=done.returncode == 0, output=output)


def run_feature(path: Path) -> list[TestResult]:
    """Run one feature file in a process of its own."""
    with tempfile.TemporaryDirectory() as folder:
        report = Path(folder) / "report.json"
        command = [sys.executable, "-m", "behave", "--no-capture", "--format", "json"]
        command += ["--outfile", str(report), "--format", "plain", str(path)]
        try:
            done = subprocess.run(
                command,
                capture_output=True,
                text=True,
                check=False,
                timeout=FEATURE_TIMEOUT_S,
            )
        except subprocess.TimeoutExpired:
            text = f"no end within {FEATURE_TIMEOUT_S} s"
            return [TestResult(name=f"{path}: (feature)", passed=False, output=text)]
        output = done.stdout + done.stderr
        results = list(_scenarios(path, report, output))
    if not results or (done.returncode != 0 and all(r.passed for r in results)):
        results.append(
            TestResult(name=f"{path}: (feature)", passed=False, output=output)
        )
    return results


def _scenarios(path: Path, report: Path, output: str) -> Iterator[TestResult]:
    if not report.exists() or not report.read_text().strip():
        return
    for feature in json.loads(report.read_text()):
        for element in feature.get("elements", []):
            if element["type"] == "background":
                continue
            yield TestResult(
                name=f"{path}: {element['name'].strip()}",
                passed=element.get("status") == "passed",
                output=output,
            )


def run_selected(name: str | None) -> list[TestResult]:
    """Run everything, or the features that a name selects."""
    paths = sorted(Path("tests").glob("**/*.feature"))
    results: list[TestResult] = []
    if name is None:
        for check, command in CHECK_COMMANDS.items():
            results.append(run_check(check, command))
            _print_result(results[-1])
    else:
        paths = [path for path in paths if name in str(path)]
    with ThreadPoolExecutor(PARALLEL_FEATURES) as pool:
        for part in pool.map(run_feature, paths):
            results.extend(part)
            for result in part:
                _print_result(result)
    return results


def _print_result(result: TestResult) -> None:
    print(f"{'ok  ' if result.passed else 'FAIL'} {result.name}", flush=True)


def main() -> int:
    """Run and report; return the exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("name", nargs="?", help="part of a feature file's path")
    arguments = parser.parse_args()
    results = run_selected(arguments.name)
    listed = known_red.read(Path("KNOWN-RED.txt"))
    names = {result.name for result in results}
    counted = [result for result in results if result.name not in listed]
    failed = [result for result in counted if not result.passed]
    for result in failed:
        print(f"\n--- {result.name}\n{result.output}")
    for result in results:
        if result.name in listed:
            print(f"KNOWN-RED {'green' if result.passed else 'red'}: {result.name}")
    missing = sorted(listed - names) if arguments.name is None else []
    for entry in missing:
        print(f"KNOWN-RED.txt names a test that does not exist: {entry}")
    failures = len(failed) + len(missing)
    print(f"{len(counted) - len(failed)} passed, {failures} failed")
    return 0 if failures == 0 and counted else 1


if __name__ == "__main__":
    sys.exit(main())
