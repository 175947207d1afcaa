"""Steps for the text stream that never blocks."""

import os
import resource
import time

from behave import given, then, when

from mothshunt.helpers.bounded_stream import BoundedStream


@given("a stream into a pipe that nobody reads")
def full_pipe(context):
    context.reader, writer = os.pipe()
    context.stack.callback(os.close, context.reader)
    context.stack.callback(os.close, writer)
    os.set_blocking(context.reader, False)
    context.dropped = 0

    def count(lines):
        context.dropped += lines

    context.stream = BoundedStream(writer, count)
    context.number = 0


def write_lines(context, count, length=100):
    for _ in range(count):
        context.number += 1
        context.stream.write(f"{context.number}".rjust(length - 1, ".") + "\n")


@when("{count:d} lines of {length:d} characters are written")
def lines_written(context, count, length):
    began, waits = time.thread_time(), voluntary_switches()
    write_lines(context, count, length)
    context.took_s = time.thread_time() - began
    context.waits = voluntary_switches() - waits


def voluntary_switches():
    """Return how often this thread gave up the processor to wait for something.

    Preemption on a busy machine is not included; it is counted separately.
    """
    return resource.getrusage(resource.RUSAGE_THREAD).ru_nvcsw


@then("writing never blocked, and took less than {limit_s:g} s of processor time")
def took(context, limit_s):
    assert context.waits == 0, context.waits
    assert context.took_s < limit_s, context.took_s


@then("at least {count:d} lines were dropped")
def dropped(context, count):
    assert context.dropped >= count, context.dropped


def read_all(context):
    data = b""
    while True:
        try:
            data += os.read(context.reader, 65536)
        except BlockingIOError:
            return data


@when("the pipe is read and {count:d} lines are written")
def read_and_write(context, count):
    context.read = read_all(context)
    for _ in range(count):
        write_lines(context, 1)
        context.read += read_all(context)


@then("every line that was read is complete")
def complete_lines(context):
    lines = context.read.decode().split("\n")
    assert lines.pop() == ""
    assert {len(line) for line in lines} == {99}, [x for x in lines if len(x) != 99]


@then("the last {count:d} lines were read")
def last_lines(context, count):
    numbers = [int(x.strip(".")) for x in context.read.decode().split()]
    wanted = list(range(context.number - count + 1, context.number + 1))
    assert numbers[-count:] == wanted, numbers[-count:]
