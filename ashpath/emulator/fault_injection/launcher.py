"""Starts a sender whose system calls fail by a schedule.

    python -m ashpath.emulator.fault_injection.launcher

`ASHPATH_FAULTS` names the file of the schedule (`call_faults.ProcessFaults`). The counts of injected faults
are written to a file beside it with the suffix `.injected`. `ASHPATH_STARTED_AT`, if it is set, is the time
from which the schedule counts, in seconds of the monotonic clock, as the interpreter takes a while to start.
`ASHPATH_DESCRIPTORS`, if it is set, is the soft limit of the process's descriptors. All other environment
variables are the sender's.
"""

from __future__ import annotations

import os
import resource
import runpy
import sys
from pathlib import Path

from ashpath.emulator.fault_injection.call_faults import ProcessFaults
from ashpath.emulator.fault_injection.process_faults import ProcessFaultInjector

SCHEDULE_VARIABLE = "ASHPATH_FAULTS"
DESCRIPTORS_VARIABLE = "ASHPATH_DESCRIPTORS"
STARTED_AT_VARIABLE = "ASHPATH_STARTED_AT"


def report_path(schedule: Path) -> Path:
    """Returns the path of the file with the counts of injected faults."""
    return schedule.with_name(f"{schedule.name}.injected")


def main() -> None:
    """Installs the faults, and runs the sender in this process."""
    if descriptors := os.environ.get(DESCRIPTORS_VARIABLE):
        _, hard_limit = resource.getrlimit(resource.RLIMIT_NOFILE)
        resource.setrlimit(resource.RLIMIT_NOFILE, (int(descriptors), hard_limit))
    schedule = Path(os.environ[SCHEDULE_VARIABLE])
    faults = ProcessFaults.decode(schedule.read_bytes())
    injector = ProcessFaultInjector(faults, report_path(schedule))
    injector.started_at = float(os.environ.get(STARTED_AT_VARIABLE, injector.started_at))
    injector.install()
    sys.argv = ["ashpath"]
    runpy.run_module("ashpath", run_name="__main__")


if __name__ == "__main__":
    main()
