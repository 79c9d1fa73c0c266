"""Starts a sender whose system calls fail by a schedule.

    python -m ashpath.emulator.fault_injection.launcher

`ASHPATH_FAULTS` names the schedule's file (`call_faults.ProcessFaults`), beside which the counts of injected
faults are written, with `.injected` behind its name. All else is the sender's own environment.
"""

from __future__ import annotations

import os
import runpy
import sys
from pathlib import Path

from ashpath.emulator.fault_injection.call_faults import ProcessFaults
from ashpath.emulator.fault_injection.process_faults import ProcessFaultInjector

SCHEDULE_VARIABLE = "ASHPATH_FAULTS"


def report_path(schedule: Path) -> Path:
    """Where the counts of injected faults stand."""
    return schedule.with_name(f"{schedule.name}.injected")


def main() -> None:
    """Never returns: it becomes the sender."""
    schedule = Path(os.environ[SCHEDULE_VARIABLE])
    faults = ProcessFaults.decode(schedule.read_bytes())
    ProcessFaultInjector(faults, report_path(schedule)).install()
    sys.argv = ["ashpath"]
    runpy.run_module("ashpath", run_name="__main__")


if __name__ == "__main__":
    main()
