import pytest

from pimentoquay.kernel import PimentoquayError
from pimentoquay.standin.program import main
from pimentoquay.standin.settings import parse_members


def test_all_invalid_settings_are_printed(tmp_path, capsys):
    file = tmp_path / "s.ini"
    file.write_text("[standin]\nkind = toaster\nlistne = x\n[engine]\ndecode_slots = none\n")
    with pytest.raises(SystemExit) as caught:
        main(["--config", str(file)])
    assert caught.value.code == 2
    errors = capsys.readouterr().err
    assert all(part in errors for part in ("toaster", "listne", "decode_slots", "s.ini"))


def test_a_malformed_member_line_exits_with_status_2(tmp_path, capsys):
    file = tmp_path / "s.ini"
    text = "[standin]\nkind = membership\nlisten = 127.0.0.1:1\n[membership]\nmembers = e1 what"
    file.write_text(text)
    assert main(["--config", str(file)]) == 2
    assert "e1 what" in capsys.readouterr().err


def test_member_lines_are_parsed():
    (member,) = parse_members("\n e1 engine tt city-hall 127.0.0.1:7201 diag-llm no\n")
    assert (member.name, member.pool, member.checks_fencing) == ("e1", "diag-llm", False)
    with pytest.raises(PimentoquayError):
        parse_members("e1 engine tt")


def test_help_has_an_example(capsys):
    with pytest.raises(SystemExit) as caught:
        main(["--help"])
    assert caught.value.code == 0
    assert "example" in capsys.readouterr().out
