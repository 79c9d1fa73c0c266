"""Which process of a sender may open a connection, and how many each gives back."""

from __future__ import annotations

import pytest

from ashpath.policy.descriptor_budget import (
    MIN_CLIENT_CAPACITY,
    DescriptorBudget,
    DescriptorKind,
    ProcessDescriptors,
)

CLIENT = DescriptorKind.CLIENT
ENDPOINT = DescriptorKind.ENDPOINT
BUDGET = DescriptorBudget(48, (106, 102))


def process(
    clients: int = 0, endpoints: int = 0, wanted: tuple[int, int] = (0, 0), *, draining: bool = False
) -> ProcessDescriptors:
    return ProcessDescriptors(24, (clients, endpoints), wanted, draining)


@pytest.mark.parametrize(("processes", "capacity"), [(1, 106), (2, 106), (3, 82), (9, MIN_CLIENT_CAPACITY)])
def test_services_of_further_processes_count_against_clients(processes: int, capacity: int) -> None:
    all_processes = [process()] * processes
    assert BUDGET.capacity(CLIENT, all_processes) == capacity
    assert BUDGET.capacity(ENDPOINT, all_processes) == 102


WANTS_CLIENTS = (8, 0)

CASES = {
    # own, other, whether `own` may open a client connection, client connections that it gives back
    "alone within the capacity": (process(105), None, True, 0),
    "alone at the capacity": (process(106), None, False, 0),
    "the other holds the rest": (process(6), process(100), False, 0),
    "beyond the share, nobody wants": (process(90), process(10), True, 0),
    "beyond the share, the other wants": (process(90), process(16, wanted=WANTS_CLIENTS), False, 8),
    "beyond the share, some are free": (process(90), process(11, wanted=WANTS_CLIENTS), False, 3),
    "at the share": (process(53), process(53, wanted=WANTS_CLIENTS), False, 0),
    "up to the share only": (process(55), process(51, wanted=WANTS_CLIENTS), False, 2),
    "draining gives all": (process(4, draining=True), process(102, wanted=WANTS_CLIENTS), False, 4),
    "draining, nobody wants": (process(50, draining=True), process(20), True, 0),
    "the draining one wants": (process(90), process(16, wanted=WANTS_CLIENTS, draining=True), False, 0),
}


@pytest.mark.parametrize(("own", "other", "may_open", "surplus"), CASES.values(), ids=CASES)
def test_budget_between_two_processes(
    own: ProcessDescriptors, other: ProcessDescriptors | None, *, may_open: bool, surplus: int
) -> None:
    others = () if other is None else (other,)
    assert BUDGET.may_open(CLIENT, own, others) is may_open
    assert BUDGET.surplus(CLIENT, own, others) == surplus


def test_start_of_third_process_makes_others_give_back_beyond_capacity() -> None:
    draining = process(60, draining=True)
    serving = process(46)
    starting = process()
    assert BUDGET.surplus(CLIENT, draining, (serving, starting)) == 24
    assert BUDGET.surplus(CLIENT, serving, (draining, starting)) == 5  # beyond its half of 82
    assert not BUDGET.may_open(CLIENT, starting, (draining, serving))
