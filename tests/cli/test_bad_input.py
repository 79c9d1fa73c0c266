"""Commands with bad input or an unreachable sender: one line on standard error, and the exit code."""

from __future__ import annotations

import pytest
from support.standalone import StandaloneSender

# Each row: the command ~ its exit code ~ a part of the error line. Nothing listens at URL.
BAD_INPUT = """
    submit --url URL --to 1 --track t              ~ 1 ~ Connection refused
    submit --url URL --track t                     ~ 2 ~ --to
    submit --url URL --to x --track t              ~ 2 ~ 'x' is not a valid integer
    submit --url URL --to 1 --track t --expires 4  ~ 2 ~ found '4', expected a duration
    submit --url URL --to 1 --track t --body none  ~ 2 ~ No such file
    submit --url URL --to 1 --track a/b            ~ 2 ~ --track: found 'a/b'
    submit --url ftp://x --to 1 --track t          ~ 2 ~ expected http://HOST:PORT
    hand-in --url URL --to 1 --track t             ~ 1 ~ Connection refused
    hand-in --url URL --track t                    ~ 2 ~ --to
    hand-in --url URL --to x --track t             ~ 2 ~ 'x' is not a valid integer
    hand-in --url URL --to 1 --track t --expires 4 ~ 2 ~ found '4', expected a duration
    hand-in --url URL --to 1 --track t --body none ~ 2 ~ No such file
    hand-in --url URL --to 1 --track a/b           ~ 2 ~ --track: found 'a/b'
    hand-in --url ftp://x --to 1 --track t         ~ 2 ~ expected http://HOST:PORT
    held http://127.0.0.1:x                        ~ 2 ~ expected http://HOST:PORT
    held URL                                       ~ 1 ~ Connection refused
    ledger verify none                             ~ 2 ~ No such file
    ledger weigh none                              ~ 2 ~ weigh
    serve none                                     ~ 2 ~ No such file
    explain rules.slot                             ~ 2 ~ is it 'rules.slots'
    explian                                        ~ 2 ~ no such command
    demo --seconds 0                               ~ 2 ~ --seconds
    demo --keep /dev/null/x --seconds 2            ~ 1 ~ --keep
    completion csh                                 ~ 2 ~ csh
    simulate no-such-day                           ~ 2 ~ no day 'no-such-day'; the library has
    simulate silent-bank --policy x                ~ 2 ~ --policy: found 'x', expected all or one of
    simulate silent-bank --seed 1 --seeds 1..2     ~ 2 ~ --seed and --seeds: found both
"""


@pytest.mark.parametrize("row", BAD_INPUT.strip().splitlines())
def test_bad_input_gives_one_line_and_exit_code(alone: StandaloneSender, url: str, row: str) -> None:
    arguments, exit_code, message = (part.strip() for part in row.split("~"))
    run = alone.run(*arguments.replace("URL", url).split())
    assert run.returncode == int(exit_code), run
    assert message in run.stderr
    assert run.stderr.startswith("ashpath: ")
    assert run.stderr.count("\n") == 1
