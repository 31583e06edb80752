import pytest

import pimentoquay
from pimentoquay.bench.program import main


def test_version_and_unknown_command(capsys):
    with pytest.raises(SystemExit) as ended:
        main(["--version"])
    assert ended.value.code == 0
    assert pimentoquay.__version__ in capsys.readouterr().out
    with pytest.raises(SystemExit) as ended:
        main(["no-such-command"])
    assert ended.value.code == 2
