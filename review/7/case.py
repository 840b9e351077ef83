"""LOST: an answer is cut off because its client does not read for four seconds."""

import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "common-2"))

from archive import run_downloads  # noqa: E402
from harness import run_case  # noqa: E402

ARCHIVE_BYTES = 540_000  # the largest answer of the users' archives
TIMEOUT_MS = 8_000  # the longest time limit on the sheet
CLIENTS = 8
PAUSE_S = 4.0


def pause(received, expected, seconds):
    return PAUSE_S if seconds < PAUSE_S else 0.0


async def case(record):
    return await run_downloads(record, pause, ARCHIVE_BYTES, TIMEOUT_MS, CLIENTS)


run_case(FOLDER, case)
