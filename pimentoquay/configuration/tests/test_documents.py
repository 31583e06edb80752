"""Parsing of documents and templates, and the faults that they report."""

from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st

from pimentoquay.configuration.documents import format_document, load_document, parse_document
from pimentoquay.configuration.templates import find_template, parse_template, templates
from pimentoquay.configuration.tests.samples import workspace
from pimentoquay.configuration.view import ConfigurationView, hash_of_key, kind_of
from pimentoquay.kernel.settings import SettingsError
from pimentoquay.messages import decode, encode
from pimentoquay.messages.placement import Urgency

EXAMPLES = Path(__file__).parents[3] / "examples"

BAD = """\
[workspace]
name = Rates Hall
key_hashes = abc
max_concurrent = 0
colour = blue

[model:diag-llm]
version = v1

[kind:diagnosis]
model = other
urgency = soon
first_token_target = nan

[kind:second]
model = other

[service:toner]
once_only = orders

[queue:x]
"""


def test_formatted_document_is_parsed_to_an_equal_workspace():
    content = workspace("hall", 3)
    assert parse_document(format_document(content), "hall.ini") == content


def test_every_fault_is_reported_with_file_section_key_value_and_allowed_values():
    with pytest.raises(SettingsError) as caught:
        parse_document(BAD, "bad.ini")
    places = {(fault.section, fault.key, fault.value) for fault in caught.value.faults}
    assert places == {
        ("workspace", "max_concurrent", "0"),
        ("workspace", "colour", "blue"),
        ("kind:diagnosis", "urgency", "soon"),
        ("kind:diagnosis", "first_token_target", "nan"),
        ("kind:diagnosis", "model", "other"),
        ("kind:second", "model", "other"),
        ("model:diag-llm", "", ""),
        ("service:toner", "once_only", "orders"),
        ("queue:x", "", ""),
        ("workspace", "name", "Rates Hall"),
        ("workspace", "key_hashes", "abc"),
    }
    assert all(fault.file == "bad.ini" and fault.allowed for fault in caught.value.faults)


@given(st.text(max_size=200) | st.sampled_from(BAD.splitlines()).map(lambda line: line * 2))
def test_any_text_is_a_document_or_reported_as_a_fault(text):
    try:
        content = parse_document(text, "any.ini")
    except SettingsError as error:
        assert error.faults
    else:
        assert decode(encode(content)) == content


def values_of(template):
    """Return a valid value for each required parameter of a template."""
    value_by_type = {"name": "some-name", "key": "a-long-bearer-key", "text": "x"}
    return {
        parameter.name: value_by_type[parameter.section.type]
        for parameter in template.parameters
        if parameter.is_required
    }


@pytest.mark.parametrize("template", templates(), ids=lambda template: template.name)
def test_template_renders_to_a_valid_document_without_the_key(template):
    text = template.render(values_of(template))
    content = parse_document(text, "made.ini")
    assert "a-long-bearer-key" not in text
    assert content.key_hashes == (hash_of_key("a-long-bearer-key"),)
    assert content.template == template.name


def test_template_reports_every_invalid_parameter_and_hides_keys():
    template = find_template("school-portal")
    with pytest.raises(SettingsError) as caught:
        template.render({"key": "short", "max_concurrent": "many", "colour": "blue"})
    faults = {fault.key: fault for fault in caught.value.faults}
    assert set(faults) == {"name", "key", "max_concurrent", "colour"}
    assert faults["key"].value == "(hidden)"
    assert faults["max_concurrent"].allowed == "a whole number from 1 to 10000"


def test_template_with_an_undeclared_parameter_is_rejected():
    with pytest.raises(SettingsError, match="nobody"):
        parse_template("t", "[template]\nsummary = s\n\n[workspace]\nname = ${nobody}\n")


@pytest.mark.parametrize("path", sorted(EXAMPLES.glob("*/*.ini")), ids=lambda path: path.name)
def test_examples_are_valid(path):
    assert load_document(path).name == path.stem


def test_examples_cover_the_once_only_calls():
    paths = {
        (service.name, path)
        for file in EXAMPLES.glob("*/*.ini")
        for service in load_document(file).services
        for path in service.once_only
    }
    assert {("toner-orders", "/orders"), ("embosser", "/pages")} <= paths


def test_kind_is_found_by_model_and_name():
    content = workspace("hall")
    kind = kind_of(content, "diag-llm")
    assert kind is not None and kind.urgency is Urgency.NORMAL
    assert kind_of(content, "diag-llm", "page") is None
    assert ConfigurationView().workspace_of_key("any") is None
